package clovermill.controlplane.outage;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The caches that operators have disabled, and the last enable call for each of the others. Does no I/O and reads no
 * clock. Not thread-safe.
 */
public final class OutageRegistry {

    /**
     * Maximum number of remembered enable calls. No director has as many caches, so only calls for caches that were
     * started long ago are forgotten.
     */
    private static final int MAX_ENABLE_CALLS = 1000;

    private final Set<String> disabled = new HashSet<>();
    /** The last enable call for each cache, the oldest first. */
    private final Map<String, EnableCall> enableCalls = new LinkedHashMap<>();

    /** An enable call: the stamp that identifies it, and its monotonic time. */
    private record EnableCall(long stampUnixMs, long enabledUs) {}

    /** Disables a cache; returns false if it was disabled before. */
    public boolean disable(String id) {
        return disabled.add(id);
    }

    /**
     * Enables a cache.
     *
     * @param stampUnixMs identifies this call among the enable calls for the cache
     * @param nowUs the monotonic clock
     * @return false if it was not disabled
     */
    public boolean enable(String id, long stampUnixMs, long nowUs) {
        if (!disabled.remove(id)) {
            return false;
        }
        remember(id, new EnableCall(stampUnixMs, nowUs));
        return true;
    }

    /**
     * Merges an enable call that another process has recorded. The stamp of the last known call identifies the same
     * call; any other stamp, also an earlier one of a wall clock that was stepped, is a further call. Merging never
     * moves a cache's start to an earlier time.
     *
     * @param enabledUs the time of the call on the monotonic clock
     */
    public void mergeEnableCall(String id, long stampUnixMs, long enabledUs) {
        EnableCall known = enableCalls.get(id);
        if (known == null) {
            remember(id, new EnableCall(stampUnixMs, enabledUs));
        } else if (known.stampUnixMs != stampUnixMs) {
            remember(id, new EnableCall(stampUnixMs, Math.max(known.enabledUs, enabledUs)));
        }
    }

    private void remember(String id, EnableCall call) {
        enableCalls.remove(id);
        enableCalls.put(id, call);
        if (enableCalls.size() > MAX_ENABLE_CALLS) {
            enableCalls.remove(enableCalls.keySet().iterator().next());
        }
    }

    /** Returns whether a cache is disabled. */
    public boolean isDisabled(String id) {
        return disabled.contains(id);
    }

    /** Returns the ids of all disabled caches. */
    public Set<String> disabledIds() {
        return Set.copyOf(disabled);
    }

    /**
     * Returns the time at which a cache counts as started, on the monotonic clock in microseconds, 0 for long ago. A
     * cache is restarted while it is disabled, which the endpoint list may show late or not at all.
     *
     * @param listedStartUs its start according to the endpoint list
     */
    public long startedUs(String id, long listedStartUs) {
        EnableCall known = enableCalls.get(id);
        return known == null ? listedStartUs : Math.max(listedStartUs, known.enabledUs);
    }
}
