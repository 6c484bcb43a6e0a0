package clovermill.controlplane.eventlog.decide;

/**
 * A token bucket of bytes: so many a second, and what one second brings may be spent at once. What must be sent may be
 * taken on credit; nothing more is allowed until that is paid. Not thread-safe.
 */
final class ByteTokenBucket {

    private static final double SECOND_US = 1e6;

    private final long bytesPerSecond;
    private double bytes;
    private long lastUs;

    ByteTokenBucket(long bytesPerSecond, long nowUs) {
        this.bytesPerSecond = bytesPerSecond;
        this.bytes = bytesPerSecond / 4.0;
        this.lastUs = nowUs;
    }

    /** Whether anything may be sent. */
    boolean allows(long nowUs) {
        bytes = Math.min(bytesPerSecond, bytes + Math.max(0, nowUs - lastUs) * bytesPerSecond / SECOND_US);
        lastUs = nowUs;
        return bytes > 0;
    }

    void spend(int sent) {
        bytes -= sent;
    }
}
