package clovermill.memory;

/** How much is out at something, now and on average of late. */
public final class InFlightCount {

    /** Span of running averages over time: some requests, though traffic is thin. */
    public static final double SPAN_US = 5_000_000;

    private int now;
    private double mean;
    private long sinceUs;

    /** So much more is out from now on; less where negative. */
    public void add(int more, long nowUs) {
        mean = mean(nowUs);
        sinceUs = nowUs;
        now += more;
    }

    /** What is out now. */
    public int now() {
        return now;
    }

    /** What was out on average. */
    public double mean(long nowUs) {
        return now + (mean - now) * Math.exp(-(nowUs - sinceUs) / SPAN_US);
    }
}
