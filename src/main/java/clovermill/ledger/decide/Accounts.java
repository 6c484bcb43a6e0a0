package clovermill.ledger.decide;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Turns the entries of one instance's log into totals. A closing freezes the totals of the periods that it
 * closes into a batch, together with the corrections since the closing before; what is dated into a closed
 * period afterwards becomes a correction in the next batch and alters nothing. The same entries in the same order
 * give the same batches, however often they are read. An entry whose sequence was passed over counts when it comes
 * after all: a segment in which a sync failed may have lost it and kept what stood behind it. Not thread-safe.
 */
public final class Accounts {

    /** Whose total, for which period. */
    public record Key(Period period, String tenant) implements Comparable<Key> {

        @Override
        public int compareTo(Key other) {
            int byPeriod = period.compareTo(other.period);
            return byPeriod != 0 ? byPeriod : tenant.compareTo(other.tenant);
        }
    }

    /** What one closing froze, in the order of the keys. {@code epoch} is that in which it happened. */
    public record Batch(long number, long epoch, long fromMs, long throughMs, long atMs, TreeMap<Key, Totals> totals,
            TreeMap<Key, Totals> corrections) {}

    /** Sequences {@code from} to {@code to} of an epoch that the log does not hold. */
    public record Hole(long epoch, long from, long to) {}

    private final Consumer<Batch> closed;
    private final Map<Key, Totals> open = new HashMap<>();
    private final Map<Key, Totals> corrections = new HashMap<>();
    private final TreeMap<Long, Long> lastSeq = new TreeMap<>();
    private final SequenceHoles holes;
    private long missing;
    private long repeated;
    private long entries;
    private long throughMs = Long.MIN_VALUE;
    private long closings;
    private long lastMs = Long.MIN_VALUE;
    private Key lastKey;
    private Totals lastTotals;

    /** {@code closed} gets each batch as it is frozen. */
    public Accounts(Consumer<Batch> closed) {
        this(closed, List.of());
    }

    private Accounts(Consumer<Batch> closed, List<Hole> known) {
        this.closed = closed;
        this.holes = new SequenceHoles(known);
    }

    /** What is needed to go on where another one stopped. */
    public record State(Map<Key, Totals> open, Map<Key, Totals> corrections, Map<Long, Long> lastSeq,
            List<Hole> holes, long throughMs, long closings, long entries, long missing, long repeated,
            long lastMs) {}

    /** Goes on from a state. */
    public Accounts(Consumer<Batch> closed, State state) {
        this(closed, state.holes);
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

    /** The present state; it shares nothing that changes but the totals. */
    public State state() {
        return new State(Map.copyOf(open), Map.copyOf(corrections), Map.copyOf(lastSeq), holes.all(), throughMs,
                closings, entries, missing, repeated, lastMs);
    }

    /** A new epoch begins: what it knew as closed is closed, whether or not the closing can still be read. */
    public void begin(long epoch, long knownThroughMs, long knownClosings) {
        lastSeq.putIfAbsent(epoch, 0L);
        if (throughMs == Long.MIN_VALUE) {
            throughMs = knownThroughMs;
            closings = knownClosings;
        } else if (knownThroughMs > throughMs) {
            close(epoch, new Entry.Close(0, knownThroughMs, knownClosings, knownThroughMs));
        }
    }

    /** What stood before a sequence of an epoch was compacted, and is not missing. */
    public void startAt(long epoch, long seq) {
        lastSeq.putIfAbsent(epoch, seq - 1);
    }

    /** Takes an entry of an epoch; returns false for one that was taken before. */
    public boolean on(long epoch, long periodMs, Entry entry) {
        long last = lastSeq.getOrDefault(epoch, 0L);
        if (entry.seq() <= last) {
            if (!holes.fill(epoch, entry.seq())) {
                repeated++;
                return false;
            }
            missing--;
        } else {
            if (entry.seq() > last + 1) {
                missing += entry.seq() - last - 1;
                holes.add(new Hole(epoch, last + 1, entry.seq() - 1));
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
        if (lastKey != null && lastKey.period.equals(period) && lastKey.tenant.equals(tenant)) {
            return lastTotals;
        }
        lastKey = new Key(period, tenant);
        lastTotals = (period.endMs() <= throughMs ? corrections : open).computeIfAbsent(lastKey, key -> new Totals());
        return lastTotals;
    }

    private void close(long epoch, Entry.Close close) {
        if (close.throughMs() <= throughMs) {
            return;
        }
        TreeMap<Key, Totals> frozen = new TreeMap<>();
        open.forEach((key, totals) -> {
            if (key.period.endMs() <= close.throughMs()) {
                frozen.put(key, totals);
            }
        });
        open.keySet().removeAll(frozen.keySet());
        Batch batch = new Batch(close.number(), epoch, throughMs, close.throughMs(), close.atMs(), frozen,
                new TreeMap<>(corrections));
        corrections.clear();
        lastKey = null;
        throughMs = close.throughMs();
        closings = close.number();
        closed.accept(batch);
    }

    /** Totals of periods that are not closed. */
    public Map<Key, Totals> open() {
        return open;
    }

    /** Corrections that the next batch will hold. */
    public Map<Key, Totals> corrections() {
        return corrections;
    }

    /** The first of the holes that are left; {@link #missing} counts what lies in all. */
    public List<Hole> holes() {
        return holes.all();
    }

    /** Sequences that the log does not hold. */
    public long missing() {
        return missing;
    }

    /** Entries that were there more than once and counted once. */
    public long repeated() {
        return repeated;
    }

    /** Entries taken. */
    public long entries() {
        return entries;
    }

    /** All that ends by this time is closed. */
    public long throughMs() {
        return throughMs;
    }

    /** How many closings there have been. */
    public long closings() {
        return closings;
    }

    /** The latest time on the ledger's line that is dated with. */
    public long lastMs() {
        return lastMs;
    }

    /** The last sequence of each epoch. */
    public Map<Long, Long> lastSeq() {
        return lastSeq;
    }
}
