package clovermill.routing.stats;

/**
 * The number of attempts in flight at an endpoint, now and as an exponentially weighted average over time. Not
 * thread-safe; times are microseconds on the owner's monotonic clock.
 */
public final class InFlightCount {

    /** Time constant of averages over time; long enough for several requests even at low traffic. */
    public static final double AVERAGING_TIME_US = 5_000_000;

    private int current;
    private double mean;
    private long lastChangeUs;

    /** Adds {@code delta}, which may be negative, to the count. */
    public void add(int delta, long nowUs) {
        mean = meanAt(nowUs);
        lastChangeUs = nowUs;
        current += delta;
    }

    /** Returns the current count. */
    public int current() {
        return current;
    }

    /** Returns the average at a time. */
    public double meanAt(long nowUs) {
        return current + (mean - current) * Math.exp(-(nowUs - lastChangeUs) / AVERAGING_TIME_US);
    }
}
