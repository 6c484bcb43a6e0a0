package clovermill.routing.stats;

import java.util.function.DoubleSupplier;

/**
 * The throughput of a group of endpoints for each unit of weight: recent work over recent exposure (weight times time
 * of what could serve). Both sums decay only with the time during which something could serve, so that what is known of
 * the capacity stays while all is down. Not thread-safe; times are microseconds on the owner's monotonic clock.
 */
public final class DecayingRate {

    /** Sums are brought up to date no more often than this. */
    private static final long UPDATE_INTERVAL_US = 100_000;

    private double workUs;
    private double exposure;
    private long lastUpdateUs;

    /**
     * Lets time pass.
     *
     * @param totalWeight the weight of the entire group
     * @param availableWeight the weight of what could have served since the last call; asked only where it is used
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

    /** Microseconds of service time for each unit of weight and microsecond; 0 where nothing is known. */
    public double rate() {
        return exposure == 0 ? 0 : workUs / exposure;
    }
}
