package clovermill.routing.load;

import java.util.random.RandomGenerator;

/**
 * Estimates the transfers that the other directors have in flight at a shared endpoint or link.
 *
 * <p>Load reports count the transfers of all directors. They are delayed, infrequent and noisy, and all directors see
 * the same ones: directors that follow each report move together to whatever looked idle last (Mitzenmacher, "How
 * Useful Is Old Information?", 2000). A report is therefore used as the load over a period, not at a moment: reports
 * are averaged over about a second, and only this director's own average is subtracted from that level; its current
 * attempts are counted exactly. As reports age, the estimate moves gradually to the fallback estimate of a director
 * without reports. Not thread-safe; times are microseconds on the owner's monotonic clock.
 */
public final class PeerLoadEstimator {

    /** Time constant of the average of reports: several of their periods, which are up to a second. */
    private static final double REPORT_AVERAGING_TIME_US = 1_000_000;
    /** Time in which the confidence in the last report falls by a factor of e. */
    private static final double CONFIDENCE_DECAY_TIME_US = 3_000_000;
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** The average of the reports, in transfers of all directors. */
    private double reportedLevel;
    private long lastReportUs = NEVER;

    /** Records a report of the transfers of all directors; ignores one that is negative or not a finite number. */
    public void recordReport(double totalInFlight, long nowUs) {
        if (totalInFlight >= 0 && totalInFlight < Double.POSITIVE_INFINITY) {
            double ageUs = Math.max(0, nowUs - lastReportUs);
            reportedLevel += (lastReportUs == NEVER ? 1 : 1 - Math.exp(-ageUs / REPORT_AVERAGING_TIME_US))
                    * (totalInFlight - reportedLevel);
            lastReportUs = nowUs;
        }
    }

    /** Returns whether a report was recorded. */
    public boolean hasReport() {
        return lastReportUs != NEVER;
    }

    /**
     * Returns whether one request for an endpoint of that utilization (load divided by limit) should go elsewhere: with
     * the probability of the excess, because all directors see the same report and together should remove no more than
     * the excess. The probability falls with the age of the reports and is 0 without reports, since an estimate from
     * this director's few requests does not justify a move. Draws a random number only if there is an excess.
     */
    public boolean shouldShed(double utilization, long nowUs, RandomGenerator random) {
        double excess = utilization > 1 ? confidence(nowUs) * (1 - 1 / utilization) : 0;
        return excess > 0 && random.nextDouble() < excess;
    }

    /** Returns the confidence in the reports, from 0 (no reports) to 1. */
    private double confidence(long nowUs) {
        return hasReport() ? Math.exp(-(nowUs - lastReportUs) / CONFIDENCE_DECAY_TIME_US) : 0;
    }

    /**
     * Returns the estimated transfers of the other directors, at least 0.
     *
     * @param ownAverage this director's own average transfers
     * @param fallback the estimate without reports
     */
    public double peerLoad(double ownAverage, double fallback, long nowUs) {
        double confidence = confidence(nowUs);
        return confidence * Math.max(0, reportedLevel - ownAverage) + (1 - confidence) * fallback;
    }

    /** Discards all reports because the endpoint has restarted. */
    public void reset() {
        lastReportUs = NEVER;
        reportedLevel = 0;
    }
}
