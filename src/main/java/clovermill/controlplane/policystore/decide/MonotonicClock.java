package clovermill.controlplane.policystore.decide;

/**
 * Time that was surely lived through: a clock that jumps ahead, or a process that was stopped, adds no more than a turn
 * may last. Who waits for others' leases to run out counts in it, as it can only run late. Not thread-safe.
 */
public final class MonotonicClock {

    private final long mostUs;
    private long lastUs;
    private long livedUs;

    /** From a moment on; no turn counts for more than {@code mostUs}. */
    public MonotonicClock(long nowUs, long mostUs) {
        this.lastUs = nowUs;
        this.mostUs = mostUs;
    }

    /** The time lived through up to this turn. */
    public long at(long nowUs) {
        livedUs += Math.max(0, Math.min(mostUs, nowUs - lastUs));
        lastUs = nowUs;
        return livedUs;
    }

    /** The time lived through up to the last turn. */
    public long lived() {
        return livedUs;
    }
}
