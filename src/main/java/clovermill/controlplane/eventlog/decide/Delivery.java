package clovermill.controlplane.eventlog.decide;

/** What a follower hands to those who act on events, in order. */
public sealed interface Delivery {

    /** An event takes effect. */
    record Applied(Entry entry) implements Delivery {}

    /**
     * Events that are held no more, up to a sequence number, take effect as one: whatever is as old as {@code madeMs}
     * may have been purged, and whatever other events said before is unknown.
     */
    record Truncated(TruncatedPrefix clear) implements Delivery {}

    /** A new log began: whatever was learned from events before is unknown, and all copies may have been purged. */
    record LogReplaced(long logId) implements Delivery {}
}
