package clovermill.routing.stats;

import java.util.function.DoubleSupplier;

/**
 * The throughput of a group of endpoints per unit of weight: recent work divided by recent exposure (weight times time
 * of the available endpoints). Both sums decay only while endpoints are available, so that the measured capacity is
 * retained while all are down. Not thread-safe; times are microseconds on the owner's monotonic clock.
 */
public final class DecayingRate {

    /** Minimum interval between updates of the sums. */
    private static final long UPDATE_INTERVAL_US = 100_000;

    private double workUs;
    private double exposure;
    private long lastUpdateUs;

    /**
     * Advances the sums to {@code nowUs}.
     *
     * @param totalWeight the weight of the entire group
     * @param availableWeight the weight of the endpoints that were available since the last call; evaluated only if
     *     used
     */
    public void advance(long nowUs, double totalWeight, DoubleSupplier availableWeight) {
        double spanUs = nowUs - lastUpdateUs;
        if (spanUs >= UPDATE_INTERVAL_US) {
            double available = availableWeight.getAsDouble();
            double decay = totalWeight == 0 ? 1
                    : Math.exp(-spanUs * available / totalWeight / InFlightCount.AVERAGING_TIME_US);
            workUs *= decay;
            exposure = lastUpdateUs == 0 ? 0 : exposure * decay + available * spanUs;
            lastUpdateUs = nowUs;
        }
    }

    /** Records work that was served, in microseconds of service time. */
    public void add(double servedUs) {
        workUs += servedUs;
    }

    /** Returns the service time in microseconds per unit of weight and microsecond; 0 if it is unknown. */
    public double rate() {
        return exposure == 0 ? 0 : workUs / exposure;
    }
}
