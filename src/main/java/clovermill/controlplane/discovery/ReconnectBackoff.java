package clovermill.controlplane.discovery;

/**
 * The delays between attempts to connect to the command channel, and the timeout of an attempt. An event must take
 * effect within a window after its creation, connected or not (protocol page), so both are fractions of the shorter of
 * the windows for drains and purges. Does no I/O and reads no clock.
 */
final class ReconnectBackoff {

    private static final long FIRST_DELAY_US = 50_000;
    /** The minimum window, also where a site sets none: a busy director needs this long to connect. */
    private static final long MIN_WINDOW_US = 100_000;
    /** The divisors of the window for the maximum delay and the maximum attempt; the rest is for the answer. */
    private static final int DELAY_DIVISOR = 3;
    private static final int CONNECT_DIVISOR = 2;

    private final long windowUs;
    private final long connectTimeoutUs;
    private long nextDelayUs;

    /**
     * Creates a backoff whose first delay is 0.
     *
     * @param windowUs the shorter window
     * @param connectTimeoutUs the timeout of an attempt in the settings
     */
    ReconnectBackoff(long windowUs, long connectTimeoutUs) {
        this.windowUs = Math.max(MIN_WINDOW_US, windowUs);
        this.connectTimeoutUs = connectTimeoutUs;
    }

    /** Returns the timeout of an attempt to connect. */
    long connectTimeoutUs() {
        return Math.min(connectTimeoutUs, windowUs / CONNECT_DIVISOR);
    }

    /** Returns the delay before the next attempt, which doubles with each call up to its limit. */
    long nextDelayUs() {
        long delayUs = nextDelayUs;
        nextDelayUs = Math.min(windowUs / DELAY_DIVISOR, Math.max(FIRST_DELAY_US, 2 * delayUs));
        return delayUs;
    }

    /** Restarts with a delay of 0, after an answer or a change of the channel's address. */
    void reset() {
        nextDelayUs = 0;
    }
}
