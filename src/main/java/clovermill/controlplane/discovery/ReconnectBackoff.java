package clovermill.controlplane.discovery;

/**
 * Delays between attempts to connect to the command channel, and the timeout of an attempt. An event has to take effect
 * within a window from the moment it is made, connected or not (protocol page), so both are parts of the shorter of the
 * windows for drains and purges. Does no I/O and reads no clock.
 */
final class ReconnectBackoff {

    private static final long FIRST_DELAY_US = 50_000;
    /** A site may set no window; a busy director needs this long to connect all the same. */
    private static final long MIN_WINDOW_US = 100_000;
    /** The longest delay and the longest attempt as parts of the window; the rest is for the answer. */
    private static final int DELAY_DIVISOR = 3;
    private static final int CONNECT_DIVISOR = 2;

    private final long windowUs;
    private final long connectTimeoutUs;
    private long nextDelayUs;

    /**
     * A backoff whose first delay is 0.
     *
     * @param windowUs the shorter window
     * @param connectTimeoutUs how long an attempt may take by the settings
     */
    ReconnectBackoff(long windowUs, long connectTimeoutUs) {
        this.windowUs = Math.max(MIN_WINDOW_US, windowUs);
        this.connectTimeoutUs = connectTimeoutUs;
    }

    /** How long an attempt to connect may take. */
    long connectTimeoutUs() {
        return Math.min(connectTimeoutUs, windowUs / CONNECT_DIVISOR);
    }

    /** The delay before the next attempt; it doubles from call to call up to its limit. */
    long nextDelayUs() {
        long delayUs = nextDelayUs;
        nextDelayUs = Math.min(windowUs / DELAY_DIVISOR, Math.max(FIRST_DELAY_US, 2 * delayUs));
        return delayUs;
    }

    /** Starts over with a delay of 0: the channel answered, or its address has changed. */
    void reset() {
        nextDelayUs = 0;
    }
}
