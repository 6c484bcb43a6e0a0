package clovermill.memory;

import java.util.Arrays;

/** Counts that are halved at fixed intervals. */
public final class DecayingCounts {

    private final long halvingUs;
    private double[] counts = {};
    private long halvedUs;

    /** Counts that are halved each {@code halvingUs}. */
    public DecayingCounts(long halvingUs) {
        this.halvingUs = halvingUs;
    }

    /** At least so many counts as they are now; the caller may add to them. */
    public double[] at(int many, long nowUs) {
        halvedUs = counts.length == 0 ? nowUs : halvedUs;
        counts = counts.length < many ? Arrays.copyOf(counts, many) : counts;
        long halvings = (nowUs - halvedUs) / halvingUs;
        halvedUs += halvings * halvingUs;
        for (int i = 0; halvings > 0 && i < counts.length; i++) {
            counts[i] /= 1L << Math.min(62, halvings);
        }
        return counts;
    }
}
