package clovermill.controlplane.eventlog.decide;

/** A change that a follower delivers to the listener, in the order of the log. */
public sealed interface Delivery {

    /** An event is applied. */
    record Applied(Entry entry) implements Delivery {}

    /**
     * Events up to a sequence number that the log no longer retains, applied as one: any copy as old as the prefix's
     * {@code createdAtMs} may have been purged, and what other events stated before is unknown.
     */
    record Truncated(TruncatedPrefix prefix) implements Delivery {}

    /** Another log replaced the one followed: earlier events are void, and any copy may have been purged. */
    record LogReplaced(long logId) implements Delivery {}
}
