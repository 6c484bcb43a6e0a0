package clovermill.controlplane.eventlog.decide;

/**
 * An ordered event of the fleet.
 *
 * @param subject what it is about
 * @param madeMs when it was made at its origin, Unix milliseconds
 * @param detail whatever the kind needs beside, maybe empty; at most {@link #MOST_DETAIL} letters of ASCII
 */
public record Event(Subject subject, long madeMs, String detail) {

    /** The most letters, each a byte, of a detail. */
    public static final int MOST_DETAIL = 64;
    /** Bytes of an event on the wire without its detail: kind, key, time, the detail's length. */
    public static final int FIXED_BYTES = 18;

    private static final int ASCII_END = 128;

    /** Checks the detail; throws {@link IllegalArgumentException} if it is too long or not ASCII. */
    public Event {
        if (detail.length() > MOST_DETAIL || detail.chars().anyMatch(each -> each >= ASCII_END)) {
            throw new IllegalArgumentException("a detail of over " + MOST_DETAIL + " letters, or not of ASCII");
        }
    }

    /** An event without detail. */
    public Event(Subject subject, long madeMs) {
        this(subject, madeMs, "");
    }

    /** Bytes on the wire, by which retention and batches are bounded. */
    public int bytes() {
        return FIXED_BYTES + detail.length();
    }

    /** This event, made no earlier than another of its subject. */
    Event notBefore(Event other) {
        return madeMs >= other.madeMs ? this : new Event(subject, other.madeMs, detail);
    }
}
