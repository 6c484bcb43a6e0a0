package clovermill.controlplane.policystore.decide;

/**
 * The parameters of the lease protocol, equal at all directors.
 *
 * @param directors the number of directors, numbered from 0
 * @param leaseUs the duration of a lease from the time of its request, on the holder's clock
 * @param renewalUs the interval between lease requests
 * @param drift the largest deviation of a clock's rate from true time, as a fraction
 */
public record LeaseTiming(int directors, long leaseUs, long renewalUs, double drift) {

    /**
     * Returns the time to wait, on any clock, after a step was agreed until every lease on an earlier step has expired.
     * Such a lease was requested before the step and lasts at most {@code leaseUs / (1 - drift)} of true time.
     */
    public long expiryWaitUs() {
        return (long) Math.ceil(leaseUs * (1 + drift) / (1 - drift)) + 1;
    }
}
