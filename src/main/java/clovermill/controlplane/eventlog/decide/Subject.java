package clovermill.controlplane.eventlog.decide;

/**
 * What an event is about; a later event of a subject replaces the earlier.
 *
 * @param kind the kind of the event
 * @param key an object's number, a group's, or whatever names the subject within its kind
 */
public record Subject(Kind kind, long key) {

    /** The kinds of events. */
    public enum Kind {
        /** Copies of one object are purged. */
        OBJECT_PURGE,
        /** Copies of a whole group are purged. */
        GROUP_PURGE,
        /** Anything else that all directors need in order; its meaning is in the detail. */
        FLEET_EVENT
    }
}
