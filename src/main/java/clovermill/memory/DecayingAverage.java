package clovermill.memory;

/** An average of the latest outcomes that fades where nothing confirms it. */
public final class DecayingAverage {

    private double average;
    private long sinceUs;

    /** One more outcome, from 0 to 1. */
    public void add(double outcome, long nowUs) {
        average += CircuitBreaker.NEWS * (outcome - average);
        sinceUs = nowUs;
    }

    /** What it is worth now. */
    public double at(long nowUs) {
        return average * Math.exp(-(nowUs - sinceUs) / InFlightCount.SPAN_US);
    }
}
