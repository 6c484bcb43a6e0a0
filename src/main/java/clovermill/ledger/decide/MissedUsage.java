package clovermill.ledger.decide;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts usage that could not be recorded, exactly, per tenant and period, until it is written as gap entries. At
 * most {@code maxKeys} combinations of tenant and period are counted separately; the others are counted under {@link
 * #OTHERS}, exact in total.
 */
public final class MissedUsage {

    /** The tenant name for usage beyond the bound; settings cannot use it, as names there are not empty. */
    public static final String OTHERS = "";

    private final int maxKeys;
    private final long periodMs;
    private final Map<TotalsAggregator.Key, Entry.Gap> gaps = new LinkedHashMap<>();

    /** Counts at most {@code maxKeys} combinations separately, in periods of {@code periodMs} milliseconds. */
    public MissedUsage(int maxKeys, long periodMs) {
        this.maxKeys = maxKeys;
        this.periodMs = periodMs;
    }

    /** Counts a record that is dropped. */
    public void add(Entry.Used used) {
        Period period = Period.of(used.takenMs(), periodMs);
        TotalsAggregator.Key key = new TotalsAggregator.Key(period, used.tenant());
        if (gaps.size() >= maxKeys && !gaps.containsKey(key)) {
            key = new TotalsAggregator.Key(period, OTHERS);
        }
        gaps.merge(key, new Entry.Gap(0, used.takenMs(), used.takenMs(), key.tenant(), 1, used.written(),
                used.fromParent(), used.fromOrigin()), MissedUsage::merge);
    }

    private static Entry.Gap merge(Entry.Gap a, Entry.Gap b) {
        return new Entry.Gap(0, Math.min(a.firstMs(), b.firstMs()), Math.max(a.lastMs(), b.lastMs()), a.tenant(),
                a.count() + b.count(), a.written() + b.written(), a.fromParent() + b.fromParent(),
                a.fromOrigin() + b.fromOrigin());
    }

    /** Returns whether nothing was missed. */
    public boolean isEmpty() {
        return gaps.isEmpty();
    }

    /** Returns at most {@code maxCount} gaps, without sequence numbers, and removes them. */
    public List<Entry.Gap> drain(int maxCount) {
        List<Entry.Gap> drained = new ArrayList<>();
        for (var each = gaps.values().iterator(); each.hasNext() && drained.size() < maxCount;) {
            drained.add(each.next());
            each.remove();
        }
        return drained;
    }
}
