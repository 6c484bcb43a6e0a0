package clovermill.director;

import clovermill.runtime.net.Budget;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import java.io.IOException;

/**
 * The resources that all planes of one director share.
 *
 * @param clock monotonic and wall clock
 * @param deadlines the timers, run by the loop
 * @param loop the event loop; its thread owns all state of the planes
 * @param bodyBudget the memory budget for bodies of requests and answers
 */
record DirectorRuntime(Clock clock, Deadlines deadlines, EventLoop loop, Budget bodyBudget) {

    /** Divides the heap for {@code bodyBudget}; the contents index, open requests and read buffers share the rest. */
    private static final int BODY_HEAP_DIVISOR = 4;

    /**
     * Opens the selector.
     *
     * @throws IOException if it cannot be opened within the time limit of {@code startup}
     */
    static DirectorRuntime open(Clock clock, StartupRetry startup) throws IOException {
        Deadlines deadlines = new Deadlines();
        EventLoop loop = startup.get("the selector", () -> new EventLoop(clock, deadlines));
        return new DirectorRuntime(clock, deadlines, loop,
                new Budget(Runtime.getRuntime().maxMemory() / BODY_HEAP_DIVISOR));
    }
}
