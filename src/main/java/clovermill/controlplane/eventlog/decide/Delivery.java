package clovermill.controlplane.eventlog.decide;

/** A change that a follower delivers to the listener, in the order of the log. */
public sealed interface Delivery {

    /** An event to apply. */
    record Applied(Entry entry) implements Delivery {}

    /**
     * Events up to a sequence number that the log no longer retains, applied as one: any copy as old as the prefix's
     * {@code createdAtMs} may have been purged, and the content of earlier events of other kinds is unknown.
     */
    record Truncated(TruncatedPrefix prefix) implements Delivery {}

    /** A replacement of the followed log by another: earlier events are void, and any copy may have been purged. */
    record LogReplaced(long logId) implements Delivery {}
}
