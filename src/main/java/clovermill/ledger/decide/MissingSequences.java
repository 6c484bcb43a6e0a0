package clovermill.ledger.decide;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The missing sequence numbers of a log, by epoch. A number that is found later is removed. Not thread-safe. */
final class MissingSequences {

    /** The maximum number of ranges; sequence numbers of further ranges stay missing even if found later. */
    static final int MAX_RANGES = 10_000;

    /** By epoch, the last sequence number of each range by its first. */
    private final Map<Long, TreeMap<Long, Long>> byEpoch = new HashMap<>();
    private int count;

    MissingSequences(List<TotalsAggregator.MissingRange> initial) {
        initial.forEach(this::add);
    }

    /** Adds a range; beyond {@link #MAX_RANGES} it is ignored. */
    void add(TotalsAggregator.MissingRange range) {
        if (count < MAX_RANGES) {
            count++;
            byEpoch.computeIfAbsent(range.epoch(), epoch -> new TreeMap<>()).put(range.from(), range.to());
        }
    }

    /** Removes a sequence number from the range that contains it; returns false if there is none. */
    boolean remove(long epoch, long seq) {
        TreeMap<Long, Long> ranges = byEpoch.get(epoch);
        Map.Entry<Long, Long> range = ranges == null ? null : ranges.floorEntry(seq);
        if (range == null || range.getValue() < seq) {
            return false;
        }
        long from = range.getKey();
        long to = range.getValue();
        ranges.remove(from);
        count--;
        if (from < seq) {
            add(new TotalsAggregator.MissingRange(epoch, from, seq - 1));
        }
        if (seq < to) {
            add(new TotalsAggregator.MissingRange(epoch, seq + 1, to));
        }
        return true;
    }

    /** Returns the remaining ranges, ordered by epoch and sequence number. */
    List<TotalsAggregator.MissingRange> all() {
        List<TotalsAggregator.MissingRange> all = new ArrayList<>(count);
        new TreeMap<>(byEpoch).forEach((epoch, ranges) -> ranges.forEach(
                (from, to) -> all.add(new TotalsAggregator.MissingRange(epoch, from, to))));
        return all;
    }
}
