package clovermill.controlplane.outage;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The caches that operators have taken out, and the last returns of those that came back. Does no I/O and reads no
 * clock.
 */
public final class OutageRegistry {

    /** Returns that are remembered, more than any director has caches: a forgotten one is of a cache long warm. */
    private static final int MAX_RETURNS = 1000;

    private final Set<String> out = new HashSet<>();
    /** The last return of each cache, the oldest first. */
    private final Map<String, Return> returns = new LinkedHashMap<>();

    /** A return: the stamp that identifies it, and its monotonic time. */
    private record Return(long stampUnixMs, long returnedUs) {}

    /** Takes a cache out; false if it was out before. */
    public boolean takeOut(String id) {
        return out.add(id);
    }

    /**
     * Puts a cache back.
     *
     * @param stampUnixMs identifies this return among those of the cache
     * @param nowUs the monotonic clock
     * @return false if it was not out
     */
    public boolean putBack(String id, long stampUnixMs, long nowUs) {
        if (!out.remove(id)) {
            return false;
        }
        remember(id, new Return(stampUnixMs, nowUs));
        return true;
    }

    /**
     * Merges a return that another process has recorded. The stamp of the last known return is the same return; any
     * other stamp, also an earlier one of a wall clock that was stepped, is a further return. A return never makes a
     * cache older than it was known to be.
     *
     * @param returnedUs when it was, on the monotonic clock
     */
    public void mergeReturn(String id, long stampUnixMs, long returnedUs) {
        Return known = returns.get(id);
        if (known == null) {
            remember(id, new Return(stampUnixMs, returnedUs));
        } else if (known.stampUnixMs != stampUnixMs) {
            remember(id, new Return(stampUnixMs, Math.max(known.returnedUs, returnedUs)));
        }
    }

    private void remember(String id, Return last) {
        returns.remove(id);
        returns.put(id, last);
        if (returns.size() > MAX_RETURNS) {
            returns.remove(returns.keySet().iterator().next());
        }
    }

    /** Whether a cache is out. */
    public boolean isOut(String id) {
        return out.contains(id);
    }

    /** The ids of all caches that are out. */
    public Set<String> allOut() {
        return Set.copyOf(out);
    }

    /**
     * When a cache counts as started on the monotonic clock, in microseconds, 0 for long ago. It is restarted while it
     * is out, which the list may show late or not at all.
     *
     * @param listedStartUs its start as the list gives it
     */
    public long startedUs(String id, long listedStartUs) {
        Return known = returns.get(id);
        return known == null ? listedStartUs : Math.max(listedStartUs, known.returnedUs);
    }
}
