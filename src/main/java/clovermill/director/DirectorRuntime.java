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
 * @param indexBytes the heap that the router's index of parts may take, in bytes
 */
record DirectorRuntime(Clock clock, Deadlines deadlines, EventLoop loop, Budget bodyBudget, long indexBytes) {

    /** Divides the heap for {@code bodyBudget}; the index, the endpoints, open requests and buffers share the rest. */
    private static final int BODY_HEAP_DIVISOR = 4;
    /** Divides the heap for {@code indexBytes}. */
    private static final int INDEX_HEAP_DIVISOR = 4;

    /**
     * Opens the selector.
     *
     * @throws IOException if it cannot be opened within the time limit of {@code startup}
     */
    static DirectorRuntime open(Clock clock, StartupRetry startup) throws IOException {
        Deadlines deadlines = new Deadlines();
        EventLoop loop = startup.get("the selector", () -> new EventLoop(clock, deadlines));
        long heapBytes = Runtime.getRuntime().maxMemory();
        return new DirectorRuntime(clock, deadlines, loop, new Budget(heapBytes / BODY_HEAP_DIVISOR),
                heapBytes / INDEX_HEAP_DIVISOR);
    }
}
