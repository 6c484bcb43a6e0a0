package clovermill.dataplane.server;

import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.Timeout;

/**
 * Throttles one client by its unserved requests (rejected, failed, cancelled) in a window, so that a storm of retries
 * or cancellations does not take processor time from other clients.
 */
final class ClientThrottle {

    private static final int MAX_UNSERVED = 100;
    private static final long WINDOW_US = 1_000_000;

    private final Clock clock;
    private final Timeout throttled;
    private long windowStartUs;
    private int unserved;

    /** {@code onEnd} runs when the client is throttled no longer. */
    ClientThrottle(Clock clock, Deadlines deadlines, Runnable onEnd) {
        this.clock = clock;
        this.throttled = new Timeout(clock, deadlines, onEnd);
    }

    /** Counts an unserved request; above the limit the client is throttled until the end of the window. */
    void countUnserved() {
        long nowUs = clock.micros();
        if (nowUs - windowStartUs >= WINDOW_US) {
            windowStartUs = nowUs;
            unserved = 0;
        }
        if (++unserved > MAX_UNSERVED && !throttled.isSet()) {
            throttled.setAt(windowStartUs + WINDOW_US);
        }
    }

    boolean isThrottled() {
        return throttled.isSet();
    }

    void close() {
        throttled.close();
    }
}
