package clovermill.ledger.decide;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Aggregates the entries of one instance's log into totals. A period closing freezes the totals of the periods that
 * it closes into a batch, together with the corrections since the previous closing. Usage that is dated into a closed
 * period afterwards becomes a correction in the next batch and does not change the closed one. The same entries in
 * the same order give the same batches, however often they are read. An entry whose sequence number was skipped still
 * counts when it arrives later: a segment in which a sync failed may have lost it and kept entries after it. Not
 * thread-safe.
 */
public final class TotalsAggregator {

    /** The period and the tenant that a total belongs to. */
    public record Key(Period period, String tenant) implements Comparable<Key> {

        @Override
        public int compareTo(Key other) {
            int byPeriod = period.compareTo(other.period);
            return byPeriod != 0 ? byPeriod : tenant.compareTo(other.tenant);
        }
    }

    /**
     * The result of one period closing, ordered by key. {@code epoch} is the epoch in which the closing was written.
     */
    public record Batch(long number, long epoch, long fromMs, long throughMs, long atMs, TreeMap<Key, Totals> totals,
            TreeMap<Key, Totals> corrections) {}

    /** The sequence numbers {@code from} to {@code to} of an epoch, which the log lacks. */
    public record MissingRange(long epoch, long from, long to) {}

    private final Consumer<Batch> batchListener;
    private final Map<Key, Totals> open = new HashMap<>();
    private final Map<Key, Totals> corrections = new HashMap<>();
    private final TreeMap<Long, Long> lastSeq = new TreeMap<>();
    private final MissingSequences missingRanges;
    private long missing;
    private long repeated;
    private long entries;
    private long throughMs = Long.MIN_VALUE;
    private long closings;
    private long lastMs = Long.MIN_VALUE;
    private Key cachedKey;
    private Totals cachedTotals;

    /** Starts without any totals; {@code batchListener} receives each batch as it is frozen. */
    public TotalsAggregator(Consumer<Batch> batchListener) {
        this(batchListener, List.of());
    }

    private TotalsAggregator(Consumer<Batch> batchListener, List<MissingRange> knownMissing) {
        this.batchListener = batchListener;
        this.missingRanges = new MissingSequences(knownMissing);
    }

    /** The state from which another aggregator can continue. */
    public record State(Map<Key, Totals> open, Map<Key, Totals> corrections, Map<Long, Long> lastSeq,
            List<MissingRange> missingRanges, long throughMs, long closings, long entries, long missing, long repeated,
            long lastMs) {}

    /** Continues from a state. */
    public TotalsAggregator(Consumer<Batch> batchListener, State state) {
        this(batchListener, state.missingRanges);
        open.putAll(state.open);
        corrections.putAll(state.corrections);
        lastSeq.putAll(state.lastSeq);
        throughMs = state.throughMs;
        closings = state.closings;
        entries = state.entries;
        missing = state.missing;
        repeated = state.repeated;
        lastMs = state.lastMs;
    }

    /** Returns a copy of the current state; only the {@link Totals} objects are shared. */
    public State state() {
        return new State(Map.copyOf(open), Map.copyOf(corrections), Map.copyOf(lastSeq), missingRanges.all(), throughMs,
                closings, entries, missing, repeated, lastMs);
    }

    /**
     * Begins an epoch. Closes what the header of its segment gives as closed, even if the entry of that closing
     * cannot be read.
     */
    public void beginEpoch(long epoch, long closedThroughMs, long closingsBefore) {
        lastSeq.putIfAbsent(epoch, 0L);
        if (throughMs == Long.MIN_VALUE) {
            throughMs = closedThroughMs;
            closings = closingsBefore;
        } else if (closedThroughMs > throughMs) {
            close(epoch, new Entry.Close(0, closedThroughMs, closingsBefore, closedThroughMs));
        }
    }

    /**
     * Sets the first sequence number of an epoch whose earlier entries were compacted, so that they do not count as
     * missing.
     */
    public void setFirstSeq(long epoch, long seq) {
        lastSeq.putIfAbsent(epoch, seq - 1);
    }

    /** Applies an entry of an epoch; returns false for a duplicate. */
    public boolean apply(long epoch, long periodMs, Entry entry) {
        long last = lastSeq.getOrDefault(epoch, 0L);
        if (entry.seq() <= last) {
            if (!missingRanges.remove(epoch, entry.seq())) {
                repeated++;
                return false;
            }
            missing--;
        } else {
            if (entry.seq() > last + 1) {
                missing += entry.seq() - last - 1;
                missingRanges.add(new MissingRange(epoch, last + 1, entry.seq() - 1));
            }
            lastSeq.put(epoch, entry.seq());
        }
        entries++;
        if (entry instanceof Entry.Used used) {
            lastMs = Math.max(lastMs, used.takenMs());
            totals(Period.of(used.takenMs(), periodMs), used.tenant()).add(used);
        } else if (entry instanceof Entry.Gap gap) {
            lastMs = Math.max(lastMs, gap.lastMs());
            totals(Period.of(gap.firstMs(), periodMs), gap.tenant()).add(gap);
        } else if (entry instanceof Entry.Close close) {
            lastMs = Math.max(lastMs, close.atMs());
            close(epoch, close);
        }
        return true;
    }

    private Totals totals(Period period, String tenant) {
        if (cachedKey != null && cachedKey.period.equals(period) && cachedKey.tenant.equals(tenant)) {
            return cachedTotals;
        }
        cachedKey = new Key(period, tenant);
        cachedTotals =
                (period.endMs() <= throughMs ? corrections : open).computeIfAbsent(cachedKey, key -> new Totals());
        return cachedTotals;
    }

    private void close(long epoch, Entry.Close close) {
        if (close.throughMs() <= throughMs) {
            return;
        }
        TreeMap<Key, Totals> closed = new TreeMap<>();
        open.forEach((key, totals) -> {
            if (key.period.endMs() <= close.throughMs()) {
                closed.put(key, totals);
            }
        });
        open.keySet().removeAll(closed.keySet());
        Batch batch = new Batch(close.number(), epoch, throughMs, close.throughMs(), close.atMs(), closed,
                new TreeMap<>(corrections));
        corrections.clear();
        cachedKey = null;
        throughMs = close.throughMs();
        closings = close.number();
        batchListener.accept(batch);
    }

    /** Returns the totals of open periods. */
    public Map<Key, Totals> open() {
        return open;
    }

    /** Returns the corrections of the next batch. */
    public Map<Key, Totals> corrections() {
        return corrections;
    }

    /** Returns the missing ranges that are tracked; {@link #missing} also counts those beyond the bound. */
    public List<MissingRange> missingRanges() {
        return missingRanges.all();
    }

    /** Returns the number of sequence numbers that the log lacks. */
    public long missing() {
        return missing;
    }

    /** Returns the number of duplicate entries, which were not counted again. */
    public long repeated() {
        return repeated;
    }

    /** Returns the number of entries applied. */
    public long entries() {
        return entries;
    }

    /** Returns the time through which all periods are closed. */
    public long throughMs() {
        return throughMs;
    }

    /** Returns the number of closings. */
    public long closings() {
        return closings;
    }

    /** Returns the latest ledger time of any entry. */
    public long lastMs() {
        return lastMs;
    }

    /** Returns the last sequence number of each epoch. */
    public Map<Long, Long> lastSeq() {
        return lastSeq;
    }
}
