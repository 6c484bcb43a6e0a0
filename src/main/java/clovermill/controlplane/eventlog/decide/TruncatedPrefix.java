package clovermill.controlplane.eventlog.decide;

/**
 * Represents all events up to a sequence number that the log no longer retains.
 *
 * @param sequence the last sequence number dropped, 0 for none
 * @param createdAtMs the latest creation time of any, Unix milliseconds: any copy as old may have been purged
 */
public record TruncatedPrefix(long sequence, long createdAtMs) {

    /** Nothing has been dropped. */
    public static final TruncatedPrefix NONE = new TruncatedPrefix(0, Long.MIN_VALUE);
}
