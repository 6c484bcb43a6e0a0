package clovermill.routing.stats;

import java.util.Arrays;

/** An array of counts that are halved at fixed intervals. Not thread-safe; times are microseconds. */
public final class DecayingCounts {

    /** A greater shift would lose a long's bits; counts are 0 long before. */
    private static final int MAX_SHIFT = 62;

    private final long halvingIntervalUs;
    private double[] counts = {};
    private long lastHalvingUs;

    /** Creates counts that are halved every {@code halvingIntervalUs}. */
    public DecayingCounts(long halvingIntervalUs) {
        this.halvingIntervalUs = halvingIntervalUs;
    }

    /** Returns the current counts, at least {@code size} of them; the caller may add to the returned array. */
    public double[] countsAt(int size, long nowUs) {
        lastHalvingUs = counts.length == 0 ? nowUs : lastHalvingUs;
        counts = counts.length < size ? Arrays.copyOf(counts, size) : counts;
        long halvings = (nowUs - lastHalvingUs) / halvingIntervalUs;
        lastHalvingUs += halvings * halvingIntervalUs;
        for (int i = 0; halvings > 0 && i < counts.length; i++) {
            counts[i] /= 1L << Math.min(MAX_SHIFT, halvings);
        }
        return counts;
    }
}
