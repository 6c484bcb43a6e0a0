package clovermill.memory;

import java.util.function.DoubleSupplier;

/**
 * What is served for each weight and time, on average of late. Both its sums fade with the time of what was up only:
 * what is known of capacity stays while nothing is.
 */
public final class DecayingRate {

    private static final long STEP_US = 100_000;

    private double work;
    private double exposure;
    private long advancedUs;

    /** Lets time pass: of {@code weight} in all, {@code up} could have served. */
    public void advance(long nowUs, double weight, DoubleSupplier up) {
        double span = nowUs - advancedUs;
        if (span >= STEP_US) {
            double upNow = up.getAsDouble();
            double fade = weight == 0 ? 1 : Math.exp(-span * upNow / weight / InFlightCount.SPAN_US);
            work *= fade;
            exposure = advancedUs == 0 ? 0 : exposure * fade + upNow * span;
            advancedUs = nowUs;
        }
    }

    /** So much was served. */
    public void add(double served) {
        work += served;
    }

    /** Per weight and microsecond; 0 where nothing is known. */
    public double rate() {
        return exposure == 0 ? 0 : work / exposure;
    }
}
