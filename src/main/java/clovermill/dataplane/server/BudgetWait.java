package clovermill.dataplane.server;

import clovermill.runtime.net.Budget;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.Timeout;

/**
 * A bounded wait for budget memory for a large frame. Reading from the client is paused meanwhile, so a disconnect
 * would not be detected.
 */
final class BudgetWait {

    /**
     * Time after which the client may have disconnected undetected; half of the time for which attempts may still start
     * after a disconnect.
     */
    private static final long LONG_WAIT_US = 50_000;
    /** The frame is skipped and rejected after this: an answer is due at most half a second after the deadline. */
    private static final long MAX_WAIT_US = 400_000;

    private final Budget budget;
    private final Timeout longWait;
    private final Timeout timeout;
    private final Runnable onMemory;
    private boolean waiting;

    /**
     * Creates a wait that has not started.
     *
     * @param onLongWait runs after {@link #LONG_WAIT_US}
     * @param onMemory runs when memory has been returned to the budget
     * @param onTimeout runs once if no memory was returned in time
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

    /** Starts the wait, or continues it if the returned memory was not enough. */
    void begin() {
        waiting = true;
        if (!timeout.isSet()) {
            longWait.setAfter(LONG_WAIT_US);
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

    /** Cancels the timeouts: the frame has its memory. */
    void finish() {
        longWait.cancel();
        timeout.cancel();
    }

    void close() {
        timeout.close();
        longWait.close();
    }
}
