package clovermill.ledger.decide;

import clovermill.dataplane.proxy.UsageRecord;
import java.util.Arrays;

/**
 * Sums over the requests of one tenant in one period. Addition is commutative, so any order gives the same totals.
 */
public final class Totals {

    /** The summed quantities, in the order of the store and of exports. */
    public enum Sum {
        REQUESTS, SERVED, NOT_MODIFIED, REFUSED, FAILED, GONE, BROKEN_OFF, REPEATS, ATTEMPTS, HITS, BYTES,
        PARENT_BYTES, ORIGIN_BYTES, MISSED_REQUESTS, MISSED_BYTES
    }

    private static final Sum[] SUMS = Sum.values();
    private static final Sum[] BY_END = {Sum.SERVED, Sum.NOT_MODIFIED, Sum.REFUSED, Sum.FAILED, Sum.GONE,
        Sum.BROKEN_OFF};

    private final long[] sums;

    /** Creates totals with all sums 0. */
    public Totals() {
        this(new long[SUMS.length]);
    }

    /** Wraps the array of sums, which are in the order of {@link Sum}. */
    public Totals(long[] sums) {
        if (sums.length != SUMS.length) {
            throw new IllegalArgumentException(sums.length + " sums instead of " + SUMS.length);
        }
        this.sums = sums;
    }

    /** Adds one request. */
    public void add(Entry.Used used) {
        add(Sum.REQUESTS, 1);
        add(BY_END[used.end().ordinal()], 1);
        add(Sum.REPEATS, used.repeat() ? 1 : 0);
        add(Sum.ATTEMPTS, used.attempts());
        add(Sum.HITS, used.how() == ContentSource.HIT || used.how() == ContentSource.STALE ? 1 : 0);
        add(Sum.BYTES, used.written());
        add(Sum.PARENT_BYTES, used.fromParent());
        add(Sum.ORIGIN_BYTES, used.fromOrigin());
    }

    /** Adds missed usage: it counts as usage, and is also counted separately. */
    public void add(Entry.Gap gap) {
        add(Sum.REQUESTS, gap.count());
        add(Sum.BYTES, gap.written());
        add(Sum.PARENT_BYTES, gap.fromParent());
        add(Sum.ORIGIN_BYTES, gap.fromOrigin());
        add(Sum.MISSED_REQUESTS, gap.count());
        add(Sum.MISSED_BYTES, gap.written());
    }

    /** Adds other sums. */
    public void add(Totals other) {
        for (int i = 0; i < sums.length; i++) {
            sums[i] += other.sums[i];
        }
    }

    private void add(Sum sum, long value) {
        sums[sum.ordinal()] += value;
    }

    /** Returns one sum: a number of requests, attempts or bytes, according to its name. */
    public long get(Sum sum) {
        return sums[sum.ordinal()];
    }

    /** Returns the sums in the order of {@link Sum}. */
    public long[] toArray() {
        return sums.clone();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Totals totals && Arrays.equals(sums, totals.sums);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(sums);
    }

    @Override
    public String toString() {
        return Arrays.toString(sums);
    }

    /** Returns the sum in which requests with this end are counted. */
    static Sum of(UsageRecord.End end) {
        return BY_END[end.ordinal()];
    }
}
