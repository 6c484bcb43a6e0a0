package clovermill.controlplane.policystore.decide;

/**
 * The parameters of the lease protocol, equal at all directors.
 *
 * @param directors the number of directors, numbered from 0
 * @param leaseUs how long a lease lasts from the moment of its request, on the holder's clock
 * @param renewalUs the interval between lease requests
 * @param drift the largest deviation of a clock's rate from true time, as a fraction
 */
public record LeaseTiming(int directors, long leaseUs, long renewalUs, double drift) {

    /**
     * How long to wait, on any clock, from a moment after a step was agreed until no lease on an earlier step is left:
     * such a lease was requested before, and lasts {@code leaseUs / (1 - drift)} of true time at most.
     */
    public long expiryWaitUs() {
        return (long) Math.ceil(leaseUs * (1 + drift) / (1 - drift)) + 1;
    }
}
