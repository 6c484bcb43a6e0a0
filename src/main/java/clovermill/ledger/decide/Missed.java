package clovermill.ledger.decide;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts exactly what could not be written down, until it can: per tenant and period. At most {@code most}
 * tenants and periods are told apart; what is beyond is counted under {@link #OTHERS}, exact in sum.
 */
public final class Missed {

    /** Stands for tenants beyond the bound; no settings can name it, as a name there is not empty. */
    public static final String OTHERS = "";

    private final int most;
    private final long periodMs;
    private final Map<Accounts.Key, Entry.Gap> gaps = new LinkedHashMap<>();

    /** Counts for at most {@code most} accounts apart, by periods of {@code periodMs} milliseconds. */
    public Missed(int most, long periodMs) {
        this.most = most;
        this.periodMs = periodMs;
    }

    /** Notes a record that is dropped. */
    public void add(Entry.Used used) {
        Period period = Period.of(used.takenMs(), periodMs);
        Accounts.Key key = new Accounts.Key(period, used.tenant());
        if (gaps.size() >= most && !gaps.containsKey(key)) {
            key = new Accounts.Key(period, OTHERS);
        }
        gaps.merge(key, new Entry.Gap(0, used.takenMs(), used.takenMs(), key.tenant(), 1, used.written(),
                used.fromParent(), used.fromOrigin()), Missed::join);
    }

    private static Entry.Gap join(Entry.Gap a, Entry.Gap b) {
        return new Entry.Gap(0, Math.min(a.firstMs(), b.firstMs()), Math.max(a.lastMs(), b.lastMs()), a.tenant(),
                a.count() + b.count(), a.written() + b.written(), a.fromParent() + b.fromParent(),
                a.fromOrigin() + b.fromOrigin());
    }

    /** Whether anything is noted. */
    public boolean isEmpty() {
        return gaps.isEmpty();
    }

    /** Gives out at most so many gaps, without a sequence, and forgets them. */
    public List<Entry.Gap> take(int count) {
        List<Entry.Gap> taken = new ArrayList<>();
        for (var each = gaps.values().iterator(); each.hasNext() && taken.size() < count;) {
            taken.add(each.next());
            each.remove();
        }
        return taken;
    }
}
