package clovermill.routing.stats;

/**
 * A circuit breaker (Nygard, "Release It!", 2007) for one endpoint. It opens when the exponentially weighted average of
 * failures passes a threshold, lets one trial request through when its delay is over, and doubles that delay each time
 * the trial fails. Not thread-safe; times are microseconds on the owner's monotonic clock.
 */
public final class CircuitBreaker {

    /** Delay until the first trial request, in microseconds. */
    public static final long FIRST_TRIAL_DELAY_US = 1_000_000;
    /** Upper bound of the delay, which doubles with each failed trial, in microseconds. */
    public static final long MAX_TRIAL_DELAY_US = 8_000_000;
    /** Weight of the latest outcome in the average, 0 to 1: about the last four outcomes count. */
    public static final double OUTCOME_WEIGHT = 0.3;
    /** The breaker opens when the average of failures passes this: two failures in a row are enough. */
    private static final double OPEN_THRESHOLD = 0.5;
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** Average of failures, from 0 (none) to 1. */
    private double failureAverage;
    private boolean open;
    /** True if a connection could not be made since the last success. */
    private boolean unreachable;
    /** Current delay between trials; 0 if the endpoint has long been healthy. */
    private long trialDelayUs;
    private long nextTrialUs;
    private long lastSuccessUs = NEVER;
    private long lastConnectionLossUs = NEVER;

    /** Returns whether the breaker is open, so that only trial requests may pass. */
    public boolean isOpen() {
        return open;
    }

    /** Returns whether a request may pass: the breaker is closed, or a trial is due. */
    public boolean allowsRequest(long nowUs) {
        return !open || nowUs >= nextTrialUs;
    }

    /** Returns whether the latest failure had the full weight of 1: not even a connection could be made. */
    public boolean isFullyFailed() {
        return failureAverage >= 1;
    }

    /**
     * Records a failure.
     *
     * @param weight the weight of the failure, from 0 to 1
     * @param connectFailed whether not even a connection could be made
     * @return whether this failure opened the breaker after it had long been closed
     */
    public boolean recordFailure(double weight, boolean connectFailed, long nowUs) {
        unreachable |= connectFailed;
        failureAverage += weight * (1 - failureAverage);
        if (failureAverage <= OPEN_THRESHOLD) {
            return false;
        }
        boolean opensAnew = !open && trialDelayUs == 0;
        open = true;
        trialDelayUs = Math.min(MAX_TRIAL_DELAY_US, Math.max(FIRST_TRIAL_DELAY_US, 2 * trialDelayUs));
        nextTrialUs = nowUs + trialDelayUs;
        return opensAnew;
    }

    /** Records a success, which closes the breaker; returns whether the endpoint had been unreachable before. */
    public boolean recordSuccess(long nowUs) {
        lastSuccessUs = nowUs;
        boolean reachableAgain = open && unreachable;
        failureAverage = open ? OPEN_THRESHOLD / 2 : failureAverage * (1 - OUTCOME_WEIGHT);
        if (!open && nowUs - nextTrialUs > MAX_TRIAL_DELAY_US) {
            trialDelayUs = 0;
        }
        open = false;
        unreachable = false;
        return reachableAgain;
    }

    /** Returns whether a success was recorded after a time. */
    public boolean succeededAfter(long timeUs) {
        return lastSuccessUs > timeUs;
    }

    /** Records a lost connection; returns whether it is the first one within {@code windowUs}. */
    public boolean recordConnectionLoss(long nowUs, long windowUs) {
        boolean first = nowUs - lastConnectionLossUs >= windowUs;
        lastConnectionLossUs = first ? nowUs : lastConnectionLossUs;
        return first;
    }

    /** Records that a request was sent; while the breaker is open it is the trial, and the next trial is delayed. */
    public void recordAttempt(long nowUs) {
        nextTrialUs = open ? nowUs + trialDelayUs : nextTrialUs;
    }

    /** Closes the breaker and discards past failures because the endpoint has restarted. */
    public void reset() {
        open = false;
        failureAverage = 0;
        trialDelayUs = 0;
    }
}
