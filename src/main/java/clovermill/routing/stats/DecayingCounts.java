package clovermill.routing.stats;

/**
 * Counts by index that are halved at fixed intervals. Only indexes whose count is not zero take memory. Not
 * thread-safe; times are microseconds.
 */
public final class DecayingCounts {

    /** A count of 1 in the fixed-point numbers that are stored; a count below one unit of these is zero. */
    private static final long ONE = 1L << 20;
    private static final long NEVER = Long.MIN_VALUE;

    private final long halvingIntervalUs;
    private final CompactIntLongMap counts = new CompactIntLongMap();
    private long lastHalvingUs = NEVER;

    /** Creates counts that are halved every {@code halvingIntervalUs}. */
    public DecayingCounts(long halvingIntervalUs) {
        this.halvingIntervalUs = halvingIntervalUs;
    }

    /** Advances all counts to {@code nowUs}; returns whether they were halved. */
    public boolean advance(long nowUs) {
        lastHalvingUs = lastHalvingUs == NEVER ? nowUs : lastHalvingUs;
        long halvings = (nowUs - lastHalvingUs) / halvingIntervalUs;
        lastHalvingUs += halvings * halvingIntervalUs;
        if (halvings > 0) {
            int shift = (int) Math.min(Long.SIZE - 1, halvings);
            counts.replaceAll(count -> count >> shift);
        }
        return halvings > 0;
    }

    /** Returns the count of an index at the time of the last advance. */
    public double count(int index) {
        return (double) counts.get(index) / ONE;
    }

    /** Adds 1 to the count of an index. */
    public void increment(int index) {
        counts.put(index, counts.get(index) + ONE);
    }

    /** Returns the bytes of heap that the counts take, without this object itself. */
    public long bytes() {
        return counts.bytes();
    }
}
