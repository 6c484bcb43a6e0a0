package clovermill.controlplane.eventlog;

import clovermill.controlplane.eventlog.decide.Event;
import clovermill.controlplane.eventlog.decide.EventLog.AppendResult;
import java.util.List;
import java.util.function.Consumer;

/** What an {@link EventLogTask} takes. */
public sealed interface EventLogTaskMessage {

    /** A datagram has come; nobody changes the bytes. */
    record DatagramReceived(byte[] bytes) implements EventLogTaskMessage {}

    /**
     * Events of this director are to be appended as one call. {@code done} is called once, on the task's thread,
     * with the result, or with null where too many calls wait; it must not block.
     */
    record AppendRequested(List<Event> events, Consumer<AppendResult> done) implements EventLogTaskMessage {}
}
