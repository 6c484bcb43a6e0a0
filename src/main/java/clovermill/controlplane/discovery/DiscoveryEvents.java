package clovermill.controlplane.discovery;

import java.util.List;

/**
 * The events of one answer of the command channel, or of the configuration's {@code known}, in order.
 *
 * @param cursor the number of the last event of the answer, whether or not it is of a known type
 * @param previousAnswerUs the monotonic clock when the poll before was answered: the events are later than that.
 *            {@link #NEVER_ANSWERED_US} where no poll was answered before
 */
public record DiscoveryEvents(long cursor, List<DiscoveryEvent> events, long previousAnswerUs) {

    /** No poll was answered before: the events may be of any age. */
    public static final long NEVER_ANSWERED_US = Long.MIN_VALUE / 2;

    /** Events of any age. */
    public DiscoveryEvents(long cursor, List<DiscoveryEvent> events) {
        this(cursor, events, NEVER_ANSWERED_US);
    }

    /** Only the events after {@code appliedCursor}: an event that is sent again is not applied twice. */
    public DiscoveryEvents after(long appliedCursor) {
        return new DiscoveryEvents(cursor,
                events.stream().filter(event -> event.cursor() > appliedCursor).toList(), previousAnswerUs);
    }
}
