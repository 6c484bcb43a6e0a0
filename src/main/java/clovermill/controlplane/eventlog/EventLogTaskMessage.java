package clovermill.controlplane.eventlog;

import clovermill.controlplane.eventlog.decide.Event;
import clovermill.controlplane.eventlog.decide.EventLog.AppendResult;
import java.util.List;
import java.util.function.Consumer;

/** A message to an {@link EventLogTask}. */
public sealed interface EventLogTaskMessage {

    /** Calls the handler's method for this message. */
    void dispatch(Handler handler, long nowUs);

    /** Handles each message. */
    interface Handler {
        /** A datagram was received. */
        void datagramReceived(DatagramReceived datagram, long nowUs);

        /** Events are to be appended. */
        void appendRequested(AppendRequested append, long nowUs);
    }

    /** A datagram was received; its bytes must not change afterwards. */
    record DatagramReceived(byte[] bytes) implements EventLogTaskMessage {
        @Override
        public void dispatch(Handler handler, long nowUs) {
            handler.datagramReceived(this, nowUs);
        }
    }

    /**
     * Events of this director are to be appended as one call. {@code done} is called once, on the task's thread, with
     * the result, or with null if the call was rejected because too many are queued; it must not block.
     */
    record AppendRequested(List<Event> events, Consumer<AppendResult> done) implements EventLogTaskMessage {
        @Override
        public void dispatch(Handler handler, long nowUs) {
            handler.appendRequested(this, nowUs);
        }
    }
}
