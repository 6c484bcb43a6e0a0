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
        /** Copies of one object are purged. */
        OBJECT_PURGE,
        /** All copies of a group are purged. */
        GROUP_PURGE,
        /** Any other event that all directors apply in order; the detail defines it. */
        FLEET_EVENT
    }
}
