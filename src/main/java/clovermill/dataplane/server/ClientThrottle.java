package clovermill.dataplane.server;

import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.Timeout;

/**
 * Counts what came to nothing for a client: answers that turn away, requests that are withdrawn. One that brings too
 * much of it is not worked on for a while, which guards the others against storms of repeats and of cancels.
 */
final class ClientThrottle {

    private static final int MOST_IN_VAIN = 100;
    private static final long SPAN_US = 1_000_000;

    private final Clock clock;
    private final Timeout pause;
    private long spanUs;
    private int count;

    /** {@code over} is run at the end of each such while. */
    ClientThrottle(Clock clock, Deadlines deadlines, Runnable over) {
        this.clock = clock;
        this.pause = new Timeout(clock, deadlines, over);
    }

    void count() {
        long nowUs = clock.micros();
        if (nowUs - spanUs >= SPAN_US) {
            spanUs = nowUs;
            count = 0;
        }
        if (++count > MOST_IN_VAIN && !pause.isSet()) {
            pause.setAt(spanUs + SPAN_US);
        }
    }

    /** Whether the client is not to be worked on now. */
    boolean holds() {
        return pause.isSet();
    }

    void close() {
        pause.close();
    }
}
