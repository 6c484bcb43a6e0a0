package clovermill.ledger.decide;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.dataplane.proxy.UsageRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Totals, period closings and corrections, compared with a simple model. */
class TotalsAggregatorTest {

    private static final long HOUR = 3_600_000;

    static Entry.Used used(long seq, long takenMs, String tenant, int bytes) {
        return new Entry.Used(seq, takenMs, takenMs, takenMs * 1000, seq, seq, tenant, 0, UsageRecord.End.SERVED,
                ContentSource.HIT, 1, false, bytes, 0, 0);
    }

    /** Creates entries as a director would write them, with late ones and closings. */
    private static List<Entry> entries(Random random, int count) {
        List<Entry> entries = new ArrayList<>();
        ClosingWatermark closingWatermark = new ClosingWatermark(HOUR, 60_000, 0);
        long nowMs = 0;
        long seq = 0;
        long number = 0;
        for (int i = 0; i < count; i++) {
            nowMs += random.nextInt(300_000);
            long delayMs = random.nextInt(20) == 0 ? random.nextInt(3 * (int) HOUR) : random.nextInt(30_000);
            entries.add(used(++seq, Math.max(0, nowMs - delayMs), "t" + random.nextInt(5), random.nextInt(1000)));
            var closedThrough = closingWatermark.advance(nowMs);
            if (closedThrough.isPresent()) {
                entries.add(new Entry.Close(++seq, closedThrough.getAsLong(), ++number, nowMs));
            }
        }
        return entries;
    }

    @Property(tries = 100, seed = "1")
    void countsEveryEntryOnceAndNeverChangesAClosedBatch(@ForAll long seed) {
        Random random = new Random(seed);
        List<Entry> entries = entries(random, 400);
        List<TotalsAggregator.Batch> batches = new ArrayList<>();
        TotalsAggregator aggregator = new TotalsAggregator(batches::add);
        aggregator.beginEpoch(1, 0, 0);
        Map<Long, String> closedBatches = new HashMap<>();
        for (int i = 0; i < entries.size(); i++) {
            aggregator.apply(1, HOUR, entries.get(i));
            if (random.nextInt(50) == 0) {
                // Entries written again after a disk fault.
                for (Entry duplicate : entries.subList(Math.max(0, i - 30), i + 1)) {
                    assertThat(aggregator.apply(1, HOUR, duplicate)).isFalse();
                }
            }
            batches.forEach(batch -> closedBatches.putIfAbsent(batch.number(), batch.toString()));
        }
        batches.forEach(batch -> assertThat(batch.toString()).isEqualTo(closedBatches.get(batch.number())));
        Map<String, Long> model = new TreeMap<>();
        entries.forEach(entry -> {
            if (entry instanceof Entry.Used used) {
                model.merge(used.tenant() + "@" + used.takenMs() / HOUR, (long) used.written(), Long::sum);
            }
        });
        Map<String, Long> found = new TreeMap<>();
        batches.forEach(batch -> {
            sum(batch.totals(), found);
            sum(batch.corrections(), found);
        });
        sum(aggregator.open(), found);
        sum(aggregator.corrections(), found);
        assertThat(found).isEqualTo(model);
        assertThat(aggregator.missing()).isZero();
    }

    private static void sum(Map<TotalsAggregator.Key, Totals> from, Map<String, Long> into) {
        from.forEach((key, totals) -> into.merge(key.tenant() + "@" + key.period().startMs() / HOUR,
                totals.get(Totals.Sum.BYTES), Long::sum));
    }

    @Property(tries = 100, seed = "1")
    void continuingFromAStateGivesTheSameResult(@ForAll long seed) {
        Random random = new Random(seed);
        List<Entry> entries = entries(random, 200);
        List<String> wholeBatches = new ArrayList<>();
        TotalsAggregator uninterrupted = new TotalsAggregator(batch -> wholeBatches.add(batch.toString()));
        uninterrupted.beginEpoch(1, 0, 0);
        entries.forEach(entry -> uninterrupted.apply(1, HOUR, entry));
        List<String> resumedBatches = new ArrayList<>();
        TotalsAggregator resumed = new TotalsAggregator(batch -> resumedBatches.add(batch.toString()));
        resumed.beginEpoch(1, 0, 0);
        for (Entry entry : entries) {
            resumed.apply(1, HOUR, entry);
            if (random.nextInt(10) == 0) {
                resumed = new TotalsAggregator(batch -> resumedBatches.add(batch.toString()), resumed.state());
            }
        }
        assertThat(resumedBatches).isEqualTo(wholeBatches);
        assertThat(resumed.open()).isEqualTo(uninterrupted.open());
    }

    @Test
    void reportsMissingSequenceNumbers() {
        TotalsAggregator aggregator = new TotalsAggregator(batch -> {});
        aggregator.beginEpoch(4, 0, 0);
        aggregator.apply(4, HOUR, used(1, 5, "a", 1));
        aggregator.apply(4, HOUR, used(5, 6, "a", 1));
        assertThat(aggregator.missingRanges()).containsExactly(new TotalsAggregator.MissingRange(4, 2, 4));
        assertThat(aggregator.missing()).isEqualTo(3);
    }

    @Test
    void countsLateEntriesOfAMissingRangeOnceAlsoAfterRestore() {
        TotalsAggregator first = new TotalsAggregator(batch -> {});
        first.beginEpoch(4, 0, 0);
        first.apply(4, HOUR, used(1, 5, "a", 1));
        first.apply(4, HOUR, used(6, 6, "a", 1));
        TotalsAggregator aggregator = new TotalsAggregator(batch -> {}, first.state());
        assertThat(aggregator.apply(4, HOUR, used(3, 5, "a", 10))).isTrue();
        assertThat(aggregator.apply(4, HOUR, used(3, 5, "a", 10))).isFalse();
        assertThat(aggregator.missingRanges()).containsExactly(new TotalsAggregator.MissingRange(4, 2, 2),
                new TotalsAggregator.MissingRange(4, 4, 5));
        assertThat(aggregator.apply(4, HOUR, used(2, 5, "a", 10))).isTrue();
        assertThat(aggregator.apply(4, HOUR, used(4, 5, "a", 10))).isTrue();
        assertThat(aggregator.apply(4, HOUR, used(5, 5, "a", 10))).isTrue();
        assertThat(aggregator.apply(4, HOUR, used(6, 5, "a", 10))).isFalse();
        assertThat(aggregator.missing()).isZero();
        assertThat(aggregator.missingRanges()).isEmpty();
        assertThat(aggregator.repeated()).isEqualTo(2);
        assertThat(aggregator.open().values()).allMatch(totals -> totals.get(Totals.Sum.BYTES) == 42);
    }

    /** A closing whose entry is damaged is recovered from the header of the next segment. */
    @Test
    void recoversUnreadableClosingFromNextHeader() {
        List<TotalsAggregator.Batch> batches = new ArrayList<>();
        TotalsAggregator aggregator = new TotalsAggregator(batches::add);
        aggregator.beginEpoch(1, 0, 0);
        aggregator.apply(1, HOUR, used(1, 5, "a", 10));
        aggregator.beginEpoch(1, HOUR, 1);
        aggregator.apply(1, HOUR, used(3, 6, "a", 3));
        assertThat(batches).hasSize(1);
        assertThat(aggregator.corrections()).hasSize(1);
        assertThat(aggregator.open()).isEmpty();
    }
}
