package clovermill.controlplane.discovery;

import java.util.List;

/**
 * The events of one answer of the command channel, or of the configuration's {@code known}, in order.
 *
 * @param cursor the number of the last event of the answer, whether or not it is of a known type
 * @param previousAnswerUs the monotonic time when the previous poll was answered: the events are later than that.
 *            {@link #NEVER_ANSWERED_US} if no poll was answered before
 */
public record DiscoveryEvents(long cursor, List<DiscoveryEvent> events, long previousAnswerUs) {

    /** The time that stands for "no poll was answered before": the events may be of any age. */
    public static final long NEVER_ANSWERED_US = Long.MIN_VALUE / 2;

    /** Creates events of any age. */
    public DiscoveryEvents(long cursor, List<DiscoveryEvent> events) {
        this(cursor, events, NEVER_ANSWERED_US);
    }

    /** Returns only the events after {@code appliedCursor}, so that a repeated event is not applied twice. */
    public DiscoveryEvents after(long appliedCursor) {
        return new DiscoveryEvents(cursor,
                events.stream().filter(event -> event.cursor() > appliedCursor).toList(), previousAnswerUs);
    }
}
