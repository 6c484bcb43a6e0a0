package clovermill.controlplane.policystore.decide;

/**
 * Elapsed time that never runs ahead of true time: a forward step of the clock, or a pause of the process, adds no more
 * than one bounded step. The leader measures the expiry of other directors' leases with it, so an error can only make
 * it wait longer. Not thread-safe.
 */
public final class MonotonicClock {

    private final long maxStepUs;
    private long lastUs;
    private long elapsedUs;

    /** Starts at {@code nowUs}; one call of {@link #advance} adds at most {@code maxStepUs}. */
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

    /** The elapsed microseconds at the last call of {@link #advance}. */
    public long elapsedUs() {
        return elapsedUs;
    }
}
