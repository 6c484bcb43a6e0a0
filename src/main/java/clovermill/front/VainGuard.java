package clovermill.front;

import clovermill.net.Clock;
import clovermill.net.Deadlines;

/**
 * Counts what came to nothing for a client: answers that turn away, requests that are withdrawn. One that brings too
 * much of it is not worked on for a while, which guards the others against storms of repeats and of cancels.
 */
final class VainGuard {

    private static final int MOST_IN_VAIN = 100;
    private static final long SPAN_US = 1_000_000;

    private final Clock clock;
    private final Deadlines deadlines;
    private final Runnable over;
    private Deadlines.Deadline until;
    private long spanUs;
    private int count;

    /** {@code over} is run at the end of each such while. */
    VainGuard(Clock clock, Deadlines deadlines, Runnable over) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.over = over;
    }

    void count() {
        long nowUs = clock.micros();
        if (nowUs - spanUs >= SPAN_US) {
            spanUs = nowUs;
            count = 0;
        }
        if (++count > MOST_IN_VAIN && until == null) {
            until = deadlines.add(spanUs + SPAN_US, () -> {
                until = null;
                over.run();
            });
        }
    }

    /** Whether the client is not to be worked on now. */
    boolean holds() {
        return until != null;
    }

    void close() {
        deadlines.cancel(until);
    }
}
