package clovermill.controlplane.eventlog;

import clovermill.controlplane.eventlog.decide.Event;
import clovermill.controlplane.eventlog.decide.EventLog.AppendResult;
import java.util.List;
import java.util.function.Consumer;

/** A message to an {@link EventLogTask}. */
public sealed interface EventLogTaskMessage {

    /** Calls the handler's method for this message. */
    void dispatch(Handler handler, long nowUs);

    /** A handler of each kind of message. */
    interface Handler {
        /** Handles a received datagram. */
        void datagramReceived(DatagramReceived datagram, long nowUs);

        /** Handles a request to append events. */
        void appendRequested(AppendRequested append, long nowUs);
    }

    /** A received datagram; its bytes must not change afterwards. */
    record DatagramReceived(byte[] bytes) implements EventLogTaskMessage {
        @Override
        public void dispatch(Handler handler, long nowUs) {
            handler.datagramReceived(this, nowUs);
        }
    }

    /**
     * A request to append events of this director as one call.
     *
     * @param done called once, on the task's thread, with the result, or with null if the call was rejected because too
     *     many are queued; it must not block
     */
    record AppendRequested(List<Event> events, Consumer<AppendResult> done) implements EventLogTaskMessage {
        @Override
        public void dispatch(Handler handler, long nowUs) {
            handler.appendRequested(this, nowUs);
        }
    }
}
