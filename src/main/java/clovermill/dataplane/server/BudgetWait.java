package clovermill.dataplane.server;

import clovermill.runtime.net.Budget;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.Timeout;

/**
 * Waits, for a bounded time, until the budget has memory for a large frame. The client is not read meanwhile, so its
 * end would not be seen.
 */
final class BudgetWait {

    /** After this the client may have gone unnoticed; half of the time that an attempt may begin late after that. */
    private static final long UNNOTICED_END_US = 50_000;
    /** Then the frame is skipped and rejected; its answer is owed half a second after its deadline at the latest. */
    private static final long MAX_WAIT_US = 400_000;

    private final Budget budget;
    private final Timeout longWait;
    private final Timeout timeout;
    private final Runnable onMemory;
    private boolean waiting;

    /**
     * {@code onLongWait} runs after {@link #UNNOTICED_END_US}, {@code onMemory} when memory was returned to the
     * budget, {@code onTimeout} once if there was none in time.
     */
    BudgetWait(Budget budget, Clock clock, Deadlines deadlines, Runnable onLongWait, Runnable onMemory,
            Runnable onTimeout) {
        this.budget = budget;
        this.longWait = new Timeout(clock, deadlines, onLongWait);
        this.timeout = new Timeout(clock, deadlines, () -> {
            waiting = false;
            onTimeout.run();
        });
        this.onMemory = onMemory;
    }

    /** Begins to wait, or continues where the memory that was returned did not suffice. */
    void begin() {
        waiting = true;
        if (!timeout.isSet()) {
            longWait.setAfter(UNNOTICED_END_US);
            timeout.setAfter(MAX_WAIT_US);
        }
        budget.await(() -> {
            if (waiting) {
                waiting = false;
                onMemory.run();
            }
        });
    }

    boolean isWaiting() {
        return waiting;
    }

    /** The frame has its memory. */
    void end() {
        longWait.cancel();
        timeout.cancel();
    }

    void close() {
        timeout.close();
        longWait.close();
    }
}
