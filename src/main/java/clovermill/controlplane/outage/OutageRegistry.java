package clovermill.controlplane.outage;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongUnaryOperator;

/**
 * The caches that operators have disabled, and the last enable call for each of the others. Does no I/O and reads no
 * clock. Not thread-safe.
 */
public final class OutageRegistry {

    /** Maximum number of remembered enable calls beside the recorded ones; the oldest are forgotten. */
    private static final int MAX_OTHER_CALLS = 1000;

    private final Set<String> disabled = new HashSet<>();
    /** The last enable call for each cache, the oldest first. */
    private final Map<String, EnableCall> enableCalls = new LinkedHashMap<>();
    /** The number of calls that the processes of this director had recorded at the last merge. */
    private int recordedCalls;

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
     * Merges the enable calls that the processes of this director have recorded. The stamp of the last known call
     * identifies the same call; any other stamp, also an earlier one of a wall clock that was stepped, is a further
     * call. Merging never moves a cache's start to an earlier time. None of these calls is forgotten before the next
     * merge, which would take it for a further one.
     *
     * @param stampsUnixMs the stamp of the last call for each cache
     * @param enabledUs returns the time, on the monotonic clock, of a call with a stamp
     */
    public void mergeEnableCalls(Map<String, Long> stampsUnixMs, LongUnaryOperator enabledUs) {
        recordedCalls = stampsUnixMs.size();
        stampsUnixMs.forEach((id, stampUnixMs) -> merge(id, stampUnixMs, enabledUs.applyAsLong(stampUnixMs)));
    }

    private void merge(String id, long stampUnixMs, long enabledUs) {
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
        while (enableCalls.size() > recordedCalls + MAX_OTHER_CALLS) {
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
