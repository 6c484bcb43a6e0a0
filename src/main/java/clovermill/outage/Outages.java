package clovermill.outage;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Which caches are out by the word of operators, and since when those that came back have been back; what that means
 * the module decides. Reads no clock and does no I/O.
 */
public final class Outages {

    /** Returns that are remembered: more than any director has caches, so that what is forgotten is old and warm. */
    private static final int MOST_BACK = 1000;

    private final Set<String> out = new HashSet<>();
    /** The last returns, the longest ago first. */
    private final Map<String, Return> back = new LinkedHashMap<>();

    /** A return: the stamp by which processes know it, and when it was on the monotonic clock, in microseconds. */
    private record Return(long stampMs, long atUs) {}

    /** Takes a cache out; false if it was out before. */
    public boolean takeOut(String id) {
        return out.add(id);
    }

    /** Puts a cache back at a time of the monotonic clock; false if it was not out. */
    public boolean putBack(String id, long stampMs, long nowUs) {
        if (!out.remove(id)) {
            return false;
        }
        remember(id, new Return(stampMs, nowUs));
        return true;
    }

    /**
     * Notes a return as another process tells. The stamp known of the last return is no news; any other, be it earlier
     * on a wall clock that was stepped, is a further return. A return never makes a cache older than it was known to
     * be.
     */
    public void returned(String id, long stampMs, long atUs) {
        Return known = back.get(id);
        if (known != null && known.stampMs == stampMs) {
            return;
        }
        remember(id, new Return(stampMs, known == null ? atUs : Math.max(known.atUs, atUs)));
    }

    private void remember(String id, Return last) {
        back.remove(id);
        back.put(id, last);
        if (back.size() > MOST_BACK) {
            back.remove(back.keySet().iterator().next());
        }
    }

    /** Whether a cache is out. */
    public boolean isOut(String id) {
        return out.contains(id);
    }

    /** Those that are out. */
    public Set<String> allOut() {
        return Set.copyOf(out);
    }

    /**
     * When a cache counts as started on the monotonic clock, in microseconds, 0 for long ago: it is restarted while
     * it is
     * out, and the list, which says {@code toldUs}, may tell that late or not at all.
     */
    public long startedUs(String id, long toldUs) {
        Return known = back.get(id);
        return known == null ? toldUs : Math.max(toldUs, known.atUs);
    }
}
