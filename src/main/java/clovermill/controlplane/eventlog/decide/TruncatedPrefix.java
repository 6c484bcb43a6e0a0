package clovermill.controlplane.eventlog.decide;

/**
 * Stands for all events up to a sequence number that the log holds no more.
 *
 * @param sequence the last of them, 0 for none
 * @param madeMs the latest time of any, Unix milliseconds: whatever is as old as that may have been purged
 */
public record TruncatedPrefix(long sequence, long madeMs) {

    /** Nothing has been dropped. */
    public static final TruncatedPrefix NONE = new TruncatedPrefix(0, Long.MIN_VALUE);
}
