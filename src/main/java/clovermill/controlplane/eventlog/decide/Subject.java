package clovermill.controlplane.eventlog.decide;

/**
 * The subject of an event; a later event of the same subject replaces an earlier one (compaction).
 *
 * @param kind the kind of the event
 * @param key the number of an object or group, or another identifier within the kind
 */
public record Subject(Kind kind, long key) {

    /** The kinds of events. */
    public enum Kind {
        /** A purge of all copies of one object. */
        OBJECT_PURGE,
        /** A purge of all copies of a group. */
        GROUP_PURGE,
        /** Any other event that all directors apply in order, defined by its detail. */
        FLEET_EVENT
    }
}
