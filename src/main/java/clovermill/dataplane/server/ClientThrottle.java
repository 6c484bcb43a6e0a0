package clovermill.dataplane.server;

import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.Timeout;

/**
 * Throttles one client by its unserved requests (rejected, failed, cancelled) and its readiness requests in a time
 * window, so that a burst of them does not take CPU time or memory from other clients.
 */
final class ClientThrottle {

    private static final int MAX_UNSERVED = 100;
    /** More than one before each of the requests that a client sends. */
    private static final int MAX_READINESS_REQUESTS = 1_000;
    private static final long WINDOW_US = 1_000_000;

    private final Clock clock;
    private final Timeout throttled;
    private long windowStartUs;
    private int unserved;
    private int readinessRequests;

    /** Creates a throttle; {@code onEnd} runs when throttling ends. */
    ClientThrottle(Clock clock, Deadlines deadlines, Runnable onEnd) {
        this.clock = clock;
        this.throttled = new Timeout(clock, deadlines, onEnd);
    }

    /** Counts an unserved request; throttles the client until the end of the window once the limit is exceeded. */
    void countUnserved() {
        updateWindow();
        unserved++;
        throttleAboveLimits();
    }

    /** Counts a readiness request, with a limit of its own. */
    void countReadinessRequest() {
        updateWindow();
        readinessRequests++;
        throttleAboveLimits();
    }

    private void updateWindow() {
        long nowUs = clock.micros();
        if (nowUs - windowStartUs >= WINDOW_US) {
            windowStartUs = nowUs;
            unserved = 0;
            readinessRequests = 0;
        }
    }

    private void throttleAboveLimits() {
        boolean aboveLimit = unserved > MAX_UNSERVED || readinessRequests > MAX_READINESS_REQUESTS;
        if (aboveLimit && !throttled.isSet()) {
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
