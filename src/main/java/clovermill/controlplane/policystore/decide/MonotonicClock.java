package clovermill.controlplane.policystore.decide;

/**
 * A clock of elapsed time that does not run ahead of true time: a forward jump of the underlying clock, or a pause of
 * the process, adds no more than one bounded step. The leader uses it to measure the expiry of other directors' leases,
 * so an error can only make it wait longer. Not thread-safe.
 */
public final class MonotonicClock {

    private final long maxStepUs;
    private long lastUs;
    private long elapsedUs;

    /** Creates a clock at {@code nowUs}; each call of {@link #advance} adds at most {@code maxStepUs}. */
    public MonotonicClock(long nowUs, long maxStepUs) {
        this.lastUs = nowUs;
        this.maxStepUs = maxStepUs;
    }

    /** Advances to a reading of the underlying clock and returns the elapsed microseconds. */
    public long advance(long nowUs) {
        elapsedUs += Math.max(0, Math.min(maxStepUs, nowUs - lastUs));
        lastUs = nowUs;
        return elapsedUs;
    }

    /** Returns the elapsed microseconds at the last call of {@link #advance}. */
    public long elapsedUs() {
        return elapsedUs;
    }
}
