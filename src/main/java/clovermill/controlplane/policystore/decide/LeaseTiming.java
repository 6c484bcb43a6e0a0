package clovermill.controlplane.policystore.decide;

/**
 * The figures on which agreement rests, the same at all directors.
 *
 * @param directors how many there are, numbered from 0
 * @param leaseUs how long a director may act by a step, from when it asked, on its own clock
 * @param askUs how often it asks
 * @param drift how much faster or slower than true time any clock may run, as a share
 */
public record LeaseTiming(int directors, long leaseUs, long askUs, double drift) {

    /**
     * After so long on any clock, counted from a moment after a step was agreed, no lease on an earlier step is left:
     * it was asked for before, and lasts {@code leaseUs / (1 - drift)} of true time at the most.
     */
    public long outUs() {
        return (long) Math.ceil(leaseUs * (1 + drift) / (1 - drift)) + 1;
    }

    /** A bound on how long a change may be under way, from its agreement: leases run out, and the next look comes. */
    public long longestUs() {
        return outUs() + askUs;
    }
}
