package clovermill.routing.stats;

/**
 * An exponentially weighted average of outcomes from 0 to 1 that decays towards 0 while none is recorded. Not
 * thread-safe; times are microseconds on the owner's monotonic clock.
 */
public final class DecayingAverage {

    private double average;
    private long lastOutcomeUs;

    /** Records an outcome, from 0 to 1. */
    public void add(double outcome, long nowUs) {
        average += CircuitBreaker.OUTCOME_WEIGHT * (outcome - average);
        lastOutcomeUs = nowUs;
    }

    /** Returns the average, decayed since the last outcome. */
    public double valueAt(long nowUs) {
        return average * Math.exp(-(nowUs - lastOutcomeUs) / InFlightCount.AVERAGING_TIME_US);
    }
}
