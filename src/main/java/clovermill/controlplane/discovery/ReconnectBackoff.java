package clovermill.controlplane.discovery;

/**
 * When a broken connection to the command channel is dialled again, and how long a dial may take. What the channel has
 * to tell counts as told from the moment it is there, connected or not (the protocol page), so a channel that can be
 * reached again is to be heard within the shorter of the windows for drains and purges. Does no I/O and reads no clock.
 */
final class ReconnectBackoff {

    private static final long FIRST_US = 50_000;
    /** A site may have no window for drains or purges; a busy director needs so long to connect all the same. */
    private static final long LEAST_WINDOW_US = 100_000;
    /** Parts of the window that the longest wait and the longest dial may take; the rest is for the answer. */
    private static final int WAIT_PART = 3;
    private static final int DIAL_PART = 2;

    private final long windowUs;
    private final long dialUs;
    private long nextUs;

    /** {@code windowUs} is the shorter window; {@code dialUs} how long a dial may take by the settings. */
    ReconnectBackoff(long windowUs, long dialUs) {
        this.windowUs = Math.max(LEAST_WINDOW_US, windowUs);
        this.dialUs = dialUs;
    }

    /** How long a dial may take. */
    long dialUs() {
        return Math.min(dialUs, windowUs / DIAL_PART);
    }

    /** The wait before the next dial: none after a connection that answered, then longer and longer. */
    long waitUs() {
        long waitUs = nextUs;
        nextUs = Math.min(windowUs / WAIT_PART, Math.max(FIRST_US, 2 * nextUs));
        return waitUs;
    }

    /** The channel answered, or is another one from now on. */
    void reached() {
        nextUs = 0;
    }
}
