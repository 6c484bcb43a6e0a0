package clovermill.routing.load;

/**
 * Estimates the concurrency limit of an endpoint or a link: how many transfers it can hold at full pace. It learns from
 * how much answers were slowed down while how many shared the endpoint, and from rejections. A small limit grows again
 * while nothing is sent that could show more, otherwise an endpoint that is avoided would stay avoided. Compare the
 * adaptive limits of Envoy and of Netflix's concurrency-limits. Not thread-safe; times are microseconds on the owner's
 * monotonic clock.
 */
public final class ConcurrencyEstimator {

    /** An endpoint that rejected a request is avoided for about the time of an answer, in microseconds. */
    public static final long REJECTION_BACKOFF_US = 200_000;
    /** Answers slowed down beyond this factor show the most that an endpoint can do, others the least. */
    public static final double SATURATION_SLOWDOWN = 1.5;
    /** Load of an endpoint that rejects, in multiples of its limit: its queue is full too. */
    private static final double LOAD_AT_REJECTION = 4;
    /** Weight of the latest sample, 0 to 1: about the last four samples count. */
    private static final double SAMPLE_WEIGHT = 0.3;
    /** Time after which the limit of an endpoint that nothing was sent to has grown by a factor of e. */
    private static final double RECOVERY_TIME_US = 8_000_000;
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** The learned limit in transfers; 0 while nothing was learned. */
    private double learnedLimit;
    private long lastActivityUs;
    private long lastSampleUs = NEVER;
    private long backoffUntilUs;

    /** The present limit in transfers; {@code defaultLimit} where nothing was learned. */
    public double limit(long nowUs, double defaultLimit) {
        return learnedLimit == 0 ? defaultLimit
                : learnedLimit * Math.exp((nowUs - lastActivityUs) / RECOVERY_TIME_US);
    }

    /** Records that an attempt was sent, or has ended, whose time will tell of the limit. */
    public void recordActivity(long nowUs) {
        lastActivityUs = nowUs;
    }

    /** Whether a sample was recorded after that time. */
    public boolean sampledAfter(long timeUs) {
        return lastSampleUs > timeUs;
    }

    /**
     * Records what one answer showed.
     *
     * @param observedLimit the transfers that the endpoint held, divided by the slowdown
     * @param slowdown the time taken over the time at full pace, at least 1
     * @param presentLimit what {@link #limit} gives now
     */
    public void recordSample(double observedLimit, double slowdown, double presentLimit, long nowUs) {
        lastSampleUs = nowUs;
        if (learnedLimit == 0 && slowdown > SATURATION_SLOWDOWN) {
            learnedLimit = observedLimit;
        } else if (learnedLimit > 0 && (observedLimit > presentLimit || slowdown > SATURATION_SLOWDOWN)) {
            learnedLimit = presentLimit + SAMPLE_WEIGHT * (observedLimit - presentLimit);
        }
    }

    /** Records that a request was rejected while the endpoint held {@code load} transfers. */
    public void recordRejection(double load, double presentLimit, long nowUs) {
        backoffUntilUs = nowUs + REJECTION_BACKOFF_US;
        learnedLimit = Math.min(presentLimit, (load + 1) / LOAD_AT_REJECTION);
    }

    /** Whether a request was rejected a moment ago. */
    public boolean isBackingOff(long nowUs) {
        return nowUs < backoffUntilUs;
    }

    /** Forgets the learned limit: the endpoint has restarted. */
    public void reset() {
        learnedLimit = 0;
    }
}
