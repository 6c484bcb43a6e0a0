package clovermill.controlplane.eventlog.decide;

/**
 * A stand-in for all events up to a sequence number, which the log no longer retains.
 *
 * @param sequence the last sequence number dropped, 0 for none
 * @param createdAtMs the latest creation time of these events, Unix milliseconds: any copy as old may have been purged
 */
public record TruncatedPrefix(long sequence, long createdAtMs) {

    /** The prefix of a log from which no event has been dropped. */
    public static final TruncatedPrefix NONE = new TruncatedPrefix(0, Long.MIN_VALUE);
}
