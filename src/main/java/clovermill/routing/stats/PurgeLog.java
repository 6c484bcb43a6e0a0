package clovermill.routing.stats;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Recent purges of objects and of groups of objects, each with the time at which it was made at the origin and the time
 * at which it became known here. Bounded by age and by number: beyond the number, those known longest are merged into
 * one purge of all objects, so that no copy is ever taken for newer than it is. Not thread-safe; times are microseconds
 * on the owner's monotonic clock.
 */
public final class PurgeLog {

    /** Denotes no purge; earlier than any other time. */
    public static final long NEVER = Long.MIN_VALUE / 2;
    private static final Purge NONE = new Purge(NEVER, NEVER);

    /** Purges by object (a Long) or group (an Integer), the latest known last. */
    private final Map<Object, Purge> purges = new LinkedHashMap<>();
    private final int maxPurges;
    /** The purge of all objects that stands for those beyond the maximum. */
    private Purge ofAll = NONE;

    private record Purge(long madeUs, long knownUs) {

        /** Returns the purge that is in force after both. */
        private Purge merge(Purge other) {
            return new Purge(Math.max(madeUs, other.madeUs), Math.max(knownUs, other.knownUs));
        }
    }

    /** Creates a log of at most {@code maxPurges} single purges, some 100 bytes each. */
    public PurgeLog(int maxPurges) {
        this.maxPurges = maxPurges;
    }

    /**
     * Adds a purge of an object or, if that is null, of a group, and removes those known for longer than
     * {@code retentionUs}.
     */
    public void add(Long object, int group, long madeUs, long nowUs, long retentionUs) {
        Object key = object != null ? object : (Object) group;
        Purge previous = purges.remove(key);
        purges.put(key, new Purge(previous == null ? madeUs : Math.max(previous.madeUs, madeUs), nowUs));
        Iterator<Purge> oldest = purges.values().iterator();
        while (purges.size() > 1) {
            Purge purge = oldest.next();
            boolean expired = nowUs - purge.knownUs > retentionUs;
            if (!expired && purges.size() <= maxPurges) {
                return;
            }
            ofAll = expired ? ofAll : ofAll.merge(purge);
            oldest.remove();
        }
    }

    /** Returns the number of single purges. */
    public int size() {
        return purges.size();
    }

    /** Returns whether a copy was confirmed after every known purge of its object and group. */
    public boolean confirmedSincePurge(long object, int group, long confirmedUs) {
        return confirmedUs > ofObject(object).knownUs && confirmedUs > ofGroup(group).knownUs
                && confirmedUs > ofAll.knownUs;
    }

    private Purge ofObject(long object) {
        return purges.getOrDefault(object, NONE);
    }

    private Purge ofGroup(int group) {
        return purges.getOrDefault(group, NONE);
    }

    /** Returns the time of the latest purge of an object, or NEVER if it was known for over {@code activeUs}. */
    public long latestPurgeUs(long object, int group, long nowUs, long activeUs) {
        Purge single = ofGroup(group).madeUs > ofObject(object).madeUs ? ofGroup(group) : ofObject(object);
        return Math.max(madeUsIfActive(single, nowUs, activeUs), madeUsIfActive(ofAll, nowUs, activeUs));
    }

    private static long madeUsIfActive(Purge purge, long nowUs, long activeUs) {
        return nowUs - purge.knownUs > activeUs ? NEVER : purge.madeUs;
    }
}
