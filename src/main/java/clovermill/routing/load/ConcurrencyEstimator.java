package clovermill.routing.load;

/**
 * Estimates the concurrency limit of an endpoint or a link: the number of transfers that it can serve at full pace. It
 * learns from the slowdown of responses at a known concurrency and from rejections. A low limit grows while no request
 * is sent that could prove a higher one; otherwise an avoided endpoint would be avoided forever. Compare the adaptive
 * limits of Envoy and of Netflix's concurrency-limits. Not thread-safe; times are microseconds on the owner's monotonic
 * clock.
 */
public final class ConcurrencyEstimator {

    /** An endpoint that rejected a request is avoided for about the time of one response, in microseconds. */
    public static final long REJECTION_BACKOFF_US = 200_000;
    /** A slowdown above this factor is an upper bound of the limit, a lower slowdown is a lower bound. */
    public static final double SATURATION_SLOWDOWN = 1.5;
    /** Load of an endpoint that rejects requests, in multiples of its limit, as its queue is full too. */
    private static final double LOAD_AT_REJECTION = 4;
    /** Weight of the latest sample, 0 to 1: about the last four samples count. */
    private static final double SAMPLE_WEIGHT = 0.3;
    /** Time in which the limit of an endpoint without requests grows by a factor of e. */
    private static final double RECOVERY_TIME_US = 8_000_000;
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** The learned limit in transfers; 0 before the first sample. */
    private double learnedLimit;
    private long lastActivityUs;
    private long lastSampleUs = NEVER;
    private long backoffUntilUs;

    /** Returns the current limit in transfers; {@code defaultLimit} before the first sample. */
    public double limit(long nowUs, double defaultLimit) {
        return learnedLimit == 0 ? defaultLimit
                : learnedLimit * Math.exp((nowUs - lastActivityUs) / RECOVERY_TIME_US);
    }

    /** Records that an attempt whose duration can be a sample was sent or has ended. */
    public void recordActivity(long nowUs) {
        lastActivityUs = nowUs;
    }

    /** Returns whether a sample was recorded after a time. */
    public boolean sampledAfter(long timeUs) {
        return lastSampleUs > timeUs;
    }

    /**
     * Records a sample from one response.
     *
     * @param observedLimit the transfers at the endpoint, divided by the slowdown
     * @param slowdown the ratio of the duration to the duration at full pace, at least 1
     * @param currentLimit the current value of {@link #limit}
     */
    public void recordSample(double observedLimit, double slowdown, double currentLimit, long nowUs) {
        lastSampleUs = nowUs;
        if (learnedLimit == 0 && slowdown > SATURATION_SLOWDOWN) {
            learnedLimit = observedLimit;
        } else if (learnedLimit > 0 && (observedLimit > currentLimit || slowdown > SATURATION_SLOWDOWN)) {
            learnedLimit = currentLimit + SAMPLE_WEIGHT * (observedLimit - currentLimit);
        }
    }

    /** Records that a request was rejected while the endpoint had {@code load} transfers. */
    public void recordRejection(double load, double currentLimit, long nowUs) {
        backoffUntilUs = nowUs + REJECTION_BACKOFF_US;
        learnedLimit = Math.min(currentLimit, (load + 1) / LOAD_AT_REJECTION);
    }

    /** Returns whether a request was rejected within the backoff time. */
    public boolean isBackingOff(long nowUs) {
        return nowUs < backoffUntilUs;
    }

    /** Discards the learned limit because the endpoint has restarted. */
    public void reset() {
        learnedLimit = 0;
    }
}
