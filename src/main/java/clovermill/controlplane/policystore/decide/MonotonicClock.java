package clovermill.controlplane.policystore.decide;

/**
 * Elapsed time that never runs ahead of true time: a forward step of the clock, or a pause of the process, adds no more
 * than one bounded step. The leader measures the expiry of other directors' leases with it, so an error can only make
 * it wait longer. Not thread-safe.
 */
public final class MonotonicClock {

    private final long maxStepMicros;
    private long lastMicros;
    private long elapsedMicros;

    /** Starts at {@code nowMicros}; one call of {@link #advance} adds at most {@code maxStepMicros}. */
    public MonotonicClock(long nowMicros, long maxStepMicros) {
        this.lastMicros = nowMicros;
        this.maxStepMicros = maxStepMicros;
    }

    /** Advances to a reading of the underlying clock and returns the elapsed microseconds. */
    public long advance(long nowMicros) {
        elapsedMicros += Math.max(0, Math.min(maxStepMicros, nowMicros - lastMicros));
        lastMicros = nowMicros;
        return elapsedMicros;
    }

    /** The elapsed microseconds at the last call of {@link #advance}. */
    public long elapsedMicros() {
        return elapsedMicros;
    }
}
