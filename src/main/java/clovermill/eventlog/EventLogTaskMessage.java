package clovermill.eventlog;

import clovermill.eventlog.decide.Event;
import clovermill.eventlog.decide.EventLog.AppendResult;
import java.util.List;
import java.util.function.Consumer;

/** What an {@link EventLogTask} takes. */
public sealed interface EventLogTaskMessage {

    /** A datagram has come; nobody changes the bytes. */
    record DatagramReceived(byte[] bytes) implements EventLogTaskMessage {}

    /**
     * Events of this director are to be appended as one call. {@code done} hears once, on the task's thread, what
     * became of it, or null where there was no room; it must not wait.
     */
    record AppendRequested(List<Event> events, Consumer<AppendResult> done) implements EventLogTaskMessage {}
}
