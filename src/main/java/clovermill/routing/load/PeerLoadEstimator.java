package clovermill.routing.load;

import java.util.random.RandomGenerator;

/**
 * Estimates how many transfers the other directors have in flight at an endpoint or a link that all share.
 *
 * <p>Load reports count the transfers of all directors. They come late, seldom and noisy, and all directors see the
 * same ones: directors that follow each report move together to whatever looked idle last (Mitzenmacher, "How Useful Is
 * Old Information?", 2000). So a report stands for the level of some time and not of a moment: reports are averaged
 * over about a second, and only this director's own average is subtracted from that level; its own attempts it counts
 * itself, at once. As reports grow old the estimate moves gradually to the guess that a director without reports would
 * make. Not thread-safe; times are microseconds on the owner's monotonic clock.
 */
public final class PeerLoadEstimator {

    /** Time constant over which reports are averaged: several of their periods, which are up to a second. */
    private static final double REPORT_AVERAGING_TIME_US = 1_000_000;
    /** Time after which the confidence in the last report has fallen by a factor of e. */
    private static final double CONFIDENCE_DECAY_TIME_US = 3_000_000;
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** Average of the reports, in transfers of all directors. */
    private double reportedLevel;
    private long lastReportUs = NEVER;

    /** Records a report of the transfers of all directors; one that is not a finite number of at least 0 is ignored. */
    public void recordReport(double totalInFlight, long nowUs) {
        if (totalInFlight >= 0 && totalInFlight < Double.POSITIVE_INFINITY) {
            double ageUs = Math.max(0, nowUs - lastReportUs);
            reportedLevel += (lastReportUs == NEVER ? 1 : 1 - Math.exp(-ageUs / REPORT_AVERAGING_TIME_US))
                    * (totalInFlight - reportedLevel);
            lastReportUs = nowUs;
        }
    }

    /** Whether anything was ever reported. */
    public boolean hasReport() {
        return lastReportUs != NEVER;
    }

    /**
     * Whether one request for an endpoint of that utilization (load over limit) should go elsewhere: with the
     * probability of just the excess, because all directors see the same report and together are to take away the
     * excess and no more. Less the older the reports are, and never without reports, since a guess from this director's
     * few requests is no reason to move. Draws a random number only where there is an excess.
     */
    public boolean shouldShed(double utilization, long nowUs, RandomGenerator random) {
        double excess = utilization > 1 ? confidence(nowUs) * (1 - 1 / utilization) : 0;
        return excess > 0 && random.nextDouble() < excess;
    }

    /** Confidence in the reports, from 0 (none were made) to 1. */
    private double confidence(long nowUs) {
        return hasReport() ? Math.exp(-(nowUs - lastReportUs) / CONFIDENCE_DECAY_TIME_US) : 0;
    }

    /**
     * The estimated transfers of the other directors, at least 0.
     *
     * @param ownAverage this director's own transfers on average
     * @param guess the estimate where nothing is reported
     */
    public double peerLoad(double ownAverage, double guess, long nowUs) {
        double confidence = confidence(nowUs);
        return confidence * Math.max(0, reportedLevel - ownAverage) + (1 - confidence) * guess;
    }

    /** Forgets all reports: the endpoint has restarted. */
    public void reset() {
        lastReportUs = NEVER;
        reportedLevel = 0;
    }
}
