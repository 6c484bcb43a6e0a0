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
    /** Unix milliseconds of the last return, the longest ago first. */
    private final Map<String, Long> back = new LinkedHashMap<>();

    /** Takes a cache out; false if it was out before. */
    public boolean takeOut(String id) {
        return out.add(id);
    }

    /** Puts a cache back at a Unix millisecond; false if it was not out. */
    public boolean putBack(String id, long nowMs) {
        if (!out.remove(id)) {
            return false;
        }
        returned(id, nowMs);
        return true;
    }

    /** Notes when a cache came back, as another process tells; what is known to be later stays. */
    public void returned(String id, long atMs) {
        long known = back.getOrDefault(id, 0L);
        back.remove(id);
        back.put(id, Math.max(known, atMs));
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
     * The Unix millisecond from which a cache counts as started, 0 for long ago: it is restarted while it is out, and
     * the list may tell that late or not at all.
     */
    public long startedMs(String id, long toldMs) {
        return Math.max(toldMs, back.getOrDefault(id, 0L));
    }
}
