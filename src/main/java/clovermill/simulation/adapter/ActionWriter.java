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

/** Writes routers' actions as lines of the reply to a batch. Not thread-safe. */
final class ActionWriter {

    private static final int JOIN_FLAG = 1;
    private static final int HELD_ONLY_FLAG = 2;
    private static final int PARENT_KEEPS_NONE_FLAG = 4;
    private static final int RENEW_FLAG = 8;

    /** How one type of action is written. */
    private record Format(String word, Consumer<Action> fields) {}

    private final StringBuilder reply = new StringBuilder();
    private final Map<Class<? extends Action>, Format> formats = new HashMap<>();

    ActionWriter() {
        format(SendVia.class, "SERVE_VIA", this::sendVia);
        format(Send.class, "PASS_ON", send -> fields(send.request(), send.member(), send.timeoutUs()));
        format(Cancel.class, "CALL_OFF", cancel -> fields(cancel.request(), cancel.attempt()));
        format(Reject.class, "SHED", reject -> fields(reject.request(), reject.retryAfterUs()));
        format(Fail.class, "FAIL", fail -> fields(fail.request()));
        format(SetTimer.class, "WAKE_ME", timer -> fields(timer.delayUs(), timer.token()));
        format(Probe.class, "ASK_LOAD", probe -> fields(probe.member()));
        format(CloseIdle.class, "RELEASE", close -> fields(close.member()));
        format(SendPeerMessage.class, "NOTIFY", this::peerMessage);
        format(WatchMembers.class, "OBSERVE", watch -> fields(watch.enabled() ? 1 : 0));
        format(FetchMembers.class, "FETCH", fetch -> fields());
        format(Log.class, "NOTE_DOWN", log -> fields(log.line()));
    }

    private <A extends Action> void format(Class<A> type, String word, Consumer<A> fields) {
        formats.put(type, new Format(word, action -> fields.accept(type.cast(action))));
    }

    /** Writes an action of a router instance. */
    void write(int instance, Action action) {
        Format format = formats.get(action.getClass());
        reply.append(format.word()).append(' ').append(instance);
        format.fields().accept(action);
        reply.append('\n');
    }

    /** Writes that a router instance failed, and where. */
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

    private void fields(Object... values) {
        for (Object each : values) {
            reply.append(' ').append(each);
        }
    }

    private void sendVia(SendVia send) {
        int flags = (send.joinFill() ? JOIN_FLAG : 0) + (send.onlyIfCached() ? HELD_ONLY_FLAG : 0)
                + (send.parentNoStore() ? PARENT_KEEPS_NONE_FLAG : 0) + (send.staleWhileRevalidate() ? RENEW_FLAG : 0);
        fields(send.request(), send.member(), send.timeoutUs(), send.source(), send.rank(), send.maxAgeUs(), flags);
    }

    private void peerMessage(SendPeerMessage message) {
        byte[] payload = message.payload();
        fields(message.to() < 0 ? "all" : message.to(),
                payload.length == 0 ? "-" : Base64.getEncoder().encodeToString(payload));
    }
}
