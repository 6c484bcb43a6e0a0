package clovermill.controlplane.eventlog.decide;

/**
 * An event that all directors apply in the same order.
 *
 * @param subject the subject of the event, by which the log is compacted
 * @param createdAtMs the creation time at its source, Unix milliseconds
 * @param detail further data specific to the kind, possibly empty; ASCII, at most {@link #MAX_DETAIL_CHARS} characters
 */
public record Event(Subject subject, long createdAtMs, String detail) {

    /** The maximum length of a detail; each character is one byte. */
    public static final int MAX_DETAIL_CHARS = 64;
    /** The size of an event on the wire without its detail: kind, key, time, length of the detail. */
    public static final int FIXED_BYTES = 18;

    private static final int ASCII_END = 128;

    /**
     * Creates an event.
     *
     * @throws IllegalArgumentException if the detail is too long or not ASCII
     */
    public Event {
        if (detail.length() > MAX_DETAIL_CHARS || detail.chars().anyMatch(each -> each >= ASCII_END)) {
            throw new IllegalArgumentException(
                    "the detail is longer than " + MAX_DETAIL_CHARS + " characters or not ASCII");
        }
    }

    /** Creates an event without detail. */
    public Event(Subject subject, long createdAtMs) {
        this(subject, createdAtMs, "");
    }

    /** Returns the size on the wire, by which retention and batches are bounded. */
    public int bytes() {
        return FIXED_BYTES + detail.length();
    }

    /** Returns this event with the later of its creation time and that of another event of its subject. */
    Event withLatestCreationTime(Event other) {
        return createdAtMs >= other.createdAtMs ? this : new Event(subject, other.createdAtMs, detail);
    }
}
