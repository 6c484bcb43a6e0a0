package clovermill.routing.stats;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Recent purges of objects and of groups of objects, each with the time at which it was made at the origin and the time
 * at which it became known here. Bounded only by age. Not thread-safe; times are microseconds on the owner's monotonic
 * clock.
 */
public final class PurgeLog {

    /** Denotes no purge; earlier than any other time. */
    public static final long NEVER = Long.MIN_VALUE / 2;

    /** Purges by object (a Long) or group (an Integer), the latest known last. */
    private final Map<Object, Purge> purges = new LinkedHashMap<>();

    private record Purge(long madeUs, long knownUs) {}

    /**
     * Adds a purge of an object or, if that is null, of a group, and removes those known for longer than
     * {@code retentionUs}.
     */
    public void add(Long object, int group, long madeUs, long nowUs, long retentionUs) {
        Object key = object != null ? object : (Object) group;
        Purge previous = purges.remove(key);
        purges.put(key, new Purge(previous == null ? madeUs : Math.max(previous.madeUs, madeUs), nowUs));
        while (nowUs - purges.values().iterator().next().knownUs > retentionUs) {
            purges.remove(purges.keySet().iterator().next());
        }
    }

    /** Returns whether a copy was confirmed after every known purge of its object and group. */
    public boolean confirmedSincePurge(long object, int group, long confirmedUs) {
        return isAfter(purges.get(object), confirmedUs) && isAfter(purges.get(group), confirmedUs);
    }

    private static boolean isAfter(Purge purge, long confirmedUs) {
        return purge == null || confirmedUs > purge.knownUs;
    }

    /** Returns the time of the latest purge of an object or its group, or NEVER if known for over {@code activeUs}. */
    public long latestPurgeUs(long object, int group, long nowUs, long activeUs) {
        Purge ofObject = purges.get(object);
        Purge ofGroup = purges.get(group);
        Purge latest = ofObject == null || ofGroup != null && ofGroup.madeUs > ofObject.madeUs ? ofGroup : ofObject;
        return latest == null || nowUs - latest.knownUs > activeUs ? NEVER : latest.madeUs;
    }
}
