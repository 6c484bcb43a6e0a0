package clovermill.controlplane.eventlog.decide;

/**
 * A token bucket in bytes, with a capacity of one second of its rate. A message may overdraw it; no other message is
 * allowed until the balance is positive again. Times are microseconds. Not thread-safe.
 */
final class ByteTokenBucket {

    private static final double SECOND_US = 1e6;
    /** The share of the capacity that a new bucket starts with. */
    private static final double INITIAL_FILL = 0.25;

    private final long bytesPerSecond;
    private double bytes;
    private long lastUs;

    ByteTokenBucket(long bytesPerSecond, long nowUs) {
        this.bytesPerSecond = bytesPerSecond;
        this.bytes = bytesPerSecond * INITIAL_FILL;
        this.lastUs = nowUs;
    }

    /** Returns whether a message may be sent. */
    boolean allows(long nowUs) {
        bytes = Math.min(bytesPerSecond, bytes + Math.max(0, nowUs - lastUs) * bytesPerSecond / SECOND_US);
        lastUs = nowUs;
        return bytes > 0;
    }

    /** Subtracts the bytes of a message that was sent. */
    void spend(int messageBytes) {
        bytes -= messageBytes;
    }
}
