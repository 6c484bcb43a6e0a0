package clovermill.controlplane.eventlog.decide;

/**
 * An event that all directors apply in the same order.
 *
 * @param subject what it is about
 * @param createdAtMs when it was created at its origin, Unix milliseconds
 * @param detail further data of the kind, maybe empty; ASCII, at most {@link #MAX_DETAIL_CHARS} characters
 */
public record Event(Subject subject, long createdAtMs, String detail) {

    /** The maximum length of a detail; each character is a byte. */
    public static final int MAX_DETAIL_CHARS = 64;
    /** Bytes of an event on the wire without its detail: kind, key, time, the detail's length. */
    public static final int FIXED_BYTES = 18;

    private static final int ASCII_END = 128;

    /** Checks the detail; throws {@link IllegalArgumentException} if it is too long or not ASCII. */
    public Event {
        if (detail.length() > MAX_DETAIL_CHARS || detail.chars().anyMatch(each -> each >= ASCII_END)) {
            throw new IllegalArgumentException("a detail of over " + MAX_DETAIL_CHARS + " characters, or not ASCII");
        }
    }

    /** An event without detail. */
    public Event(Subject subject, long createdAtMs) {
        this(subject, createdAtMs, "");
    }

    /** Bytes on the wire, by which retention and batches are bounded. */
    public int bytes() {
        return FIXED_BYTES + detail.length();
    }

    /** This event, with the later of its creation time and that of another event of its subject. */
    Event notBefore(Event other) {
        return createdAtMs >= other.createdAtMs ? this : new Event(subject, other.createdAtMs, detail);
    }
}
