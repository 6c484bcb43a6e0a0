package clovermill.simulation.adapter;

import clovermill.routing.api.Action;
import clovermill.routing.api.Cancel;
import clovermill.routing.api.CloseIdle;
import clovermill.routing.api.Fail;
import clovermill.routing.api.FetchMembers;
import clovermill.routing.api.Log;
import clovermill.routing.api.Probe;
import clovermill.routing.api.Reject;
import clovermill.routing.api.Send;
import clovermill.routing.api.SendPeerMessage;
import clovermill.routing.api.SendVia;
import clovermill.routing.api.SetTimer;
import clovermill.routing.api.WatchMembers;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Writes the actions of routers as lines of the reply to a batch. Not thread-safe. */
final class ActionWriter {

    private static final int JOIN_FILL_FLAG = 1;
    private static final int ONLY_IF_CACHED_FLAG = 2;
    private static final int PARENT_NO_STORE_FLAG = 4;
    private static final int STALE_WHILE_REVALIDATE_FLAG = 8;

    /** The format of one type of action: its keyword and the writer of its fields. */
    private record Format(String keyword, Consumer<Action> fields) {}

    private final StringBuilder reply = new StringBuilder();
    private final Map<Class<? extends Action>, Format> formats = new HashMap<>();

    ActionWriter() {
        register(SendVia.class, "SERVE_VIA", this::writeSendVia);
        register(Send.class, "PASS_ON", send -> writeFields(send.request(), send.member(), send.timeoutUs()));
        register(Cancel.class, "CALL_OFF", cancel -> writeFields(cancel.request(), cancel.attempt()));
        register(Reject.class, "SHED", reject -> writeFields(reject.request(), reject.retryAfterUs()));
        register(Fail.class, "FAIL", fail -> writeFields(fail.request()));
        register(SetTimer.class, "WAKE_ME", timer -> writeFields(timer.delayUs(), timer.token()));
        register(Probe.class, "ASK_LOAD", probe -> writeFields(probe.member()));
        register(CloseIdle.class, "RELEASE", close -> writeFields(close.member()));
        register(SendPeerMessage.class, "NOTIFY", this::writePeerMessage);
        register(WatchMembers.class, "OBSERVE", watch -> writeFields(watch.enabled() ? 1 : 0));
        register(FetchMembers.class, "FETCH", fetch -> writeFields());
        register(Log.class, "NOTE_DOWN", log -> writeFields(log.line()));
    }

    private <A extends Action> void register(Class<A> type, String keyword, Consumer<A> fields) {
        formats.put(type, new Format(keyword, action -> fields.accept(type.cast(action))));
    }

    /** Writes an action of a router instance. */
    void write(int instance, Action action) {
        Format format = formats.get(action.getClass());
        reply.append(format.keyword()).append(' ').append(instance);
        format.fields().accept(action);
        reply.append('\n');
    }

    /** Writes the failure of a router instance with its source location. */
    void writeFailure(int instance, RuntimeException failure) {
        StackTraceElement[] trace = failure.getStackTrace();
        reply.append("DIE ").append(instance).append(' ').append(failure)
                .append(trace.length > 0 ? " at " + trace[0] : "").append('\n');
    }

    /** Ends the reply to a batch and returns it. */
    String takeReply() {
        String batch = reply.append("YIELD\n").toString();
        reply.setLength(0);
        return batch;
    }

    private void writeFields(Object... values) {
        for (Object each : values) {
            reply.append(' ').append(each);
        }
    }

    private void writeSendVia(SendVia send) {
        int flags = (send.joinFill() ? JOIN_FILL_FLAG : 0) + (send.onlyIfCached() ? ONLY_IF_CACHED_FLAG : 0)
                + (send.parentNoStore() ? PARENT_NO_STORE_FLAG : 0)
                + (send.staleWhileRevalidate() ? STALE_WHILE_REVALIDATE_FLAG : 0);
        writeFields(send.request(), send.member(), send.timeoutUs(), send.source(), send.rank(), send.maxAgeUs(),
                flags);
    }

    private void writePeerMessage(SendPeerMessage message) {
        byte[] payload = message.payload();
        writeFields(message.to() < 0 ? "all" : message.to(),
                payload.length == 0 ? "-" : Base64.getEncoder().encodeToString(payload));
    }
}
