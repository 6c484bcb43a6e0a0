package clovermill.routing.stats;

/**
 * How many attempts are in flight at an endpoint, now and on exponentially weighted average over time. Not thread-safe;
 * times are microseconds on the owner's monotonic clock.
 */
public final class InFlightCount {

    /** Time constant of averages over time: several requests fall into it even where traffic is thin. */
    public static final double AVERAGING_TIME_US = 5_000_000;

    private int current;
    private double mean;
    private long lastChangeUs;

    /** Adds to the count; takes away where {@code delta} is negative. */
    public void add(int delta, long nowUs) {
        mean = meanAt(nowUs);
        lastChangeUs = nowUs;
        current += delta;
    }

    /** The present count. */
    public int current() {
        return current;
    }

    /** The average of late. */
    public double meanAt(long nowUs) {
        return current + (mean - current) * Math.exp(-(nowUs - lastChangeUs) / AVERAGING_TIME_US);
    }
}
