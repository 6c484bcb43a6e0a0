package clovermill.dataplane.proxy;

import clovermill.routing.api.Action;
import clovermill.routing.api.Cancel;
import clovermill.routing.api.CloseIdle;
import clovermill.routing.api.Fail;
import clovermill.routing.api.Log;
import clovermill.routing.api.Note;
import clovermill.routing.api.Probe;
import clovermill.routing.api.Probed;
import clovermill.routing.api.Refuse;
import clovermill.routing.api.Result;
import clovermill.routing.api.Send;
import clovermill.routing.api.SendVia;
import clovermill.routing.api.SetTimer;
import clovermill.routing.api.Timer;
import java.lang.System.Logger.Level;

/**
 * Executes the actions of the router. {@code Watch}, {@code FetchMembers} and {@code Tell} have no effect: discovery
 * pushes the members anyway, and directors of one fleet exchange no router messages.
 */
final class ActionExecutor {

    private static final System.Logger LOG = System.getLogger(ActionExecutor.class.getName());
    private static final int NOT_CACHED = 0;
    private static final long FRESH_TIME_OF_CLASS = 0;

    private final ProxyCore core;
    private final Upstream upstream;
    private final ActionDispatcher dispatcher;

    ActionExecutor(ProxyCore core, Upstream upstream) {
        this.core = core;
        this.upstream = upstream;
        this.dispatcher = new ActionDispatcher()
                .on(SendVia.class, this::sendVia)
                .on(Send.class, this::send)
                .on(Cancel.class, this::cancel)
                .on(Refuse.class, this::refuse)
                .on(Fail.class, this::fail)
                .on(SetTimer.class, this::setTimer)
                .on(Probe.class, this::probe)
                .on(CloseIdle.class, action -> upstream.closeIdle(action.member()))
                .on(Log.class, action -> LOG.log(Level.INFO, action.line()));
    }

    void execute(Action action) {
        dispatcher.dispatch(action);
    }

    private void sendVia(SendVia action) {
        String source = action.source().equals(action.member()) ? null : action.source();
        startAttempt(action.request(), action.member(), action.timeoutUs(),
                (request, timeoutUs) -> new AttemptOrder(request, action.member(), timeoutUs, source,
                        action.rank(), action.maxAgeUs(), action.join(), action.heldOnly(),
                        action.parentKeepsNone(), action.renew()));
    }

    private void send(Send action) {
        startAttempt(action.request(), action.member(), action.timeoutUs(),
                (request, timeoutUs) -> new AttemptOrder(request, action.member(), timeoutUs, null,
                        NOT_CACHED, FRESH_TIME_OF_CLASS, false, false, false, false));
    }

    /** Creates the order of an attempt once its timeout is known, in microseconds. */
    private interface OrderFactory {
        AttemptOrder create(ClientRequest request, long timeoutUs);
    }

    /**
     * Starts an attempt with its timeout cut to the client's deadline; 0 is the time that the client has left. An
     * attempt beyond the limit, after the deadline or after the client has gone ends at once as not sent.
     */
    private void startAttempt(String requestId, String member, long timeoutUs,
            OrderFactory orders) {
        RequestContext context = core.find(requestId);
        if (context == null) {
            LOG.log(Level.ERROR, "the router sent an attempt for the unknown request {0}", requestId);
            return;
        }
        Attempt attempt = context.newAttempt(member);
        long remainingUs = context.deadlineUs - attempt.sentUs;
        if (context.isAbandoned() || attempt.number >= core.permissions().maxAttempts() || remainingUs <= 0) {
            attempt.ended(Result.NOT_SENT, Note.NONE, 0, null);
            return;
        }
        long cutUs =
                timeoutUs == 0 ? remainingUs : Math.min(remainingUs, Math.max(0, timeoutUs));
        attempt.start(upstream, orders.create(context.request, cutUs));
    }

    /** An attempt that may have begun continues if its client only half-closed: its answer may still be read. */
    private void cancel(Cancel action) {
        RequestContext context = core.find(action.request());
        Attempt attempt = context == null ? null : context.inFlight.get(action.attempt());
        if (attempt != null && !(context.isHalfClosed() && attempt.begun())) {
            attempt.cancel(Result.CANCELLED);
        }
    }

    private void refuse(Refuse action) {
        RequestContext context = core.find(action.request());
        if (context != null && !context.isOver()) {
            context.refuse(Math.max(0, action.retryAfterUs()) / 1000);
        }
    }

    private void fail(Fail action) {
        RequestContext context = core.find(action.request());
        if (context != null && !context.isOver()) {
            context.fail();
        }
    }

    private void setTimer(SetTimer action) {
        core.deadlines.add(core.clock.micros() + action.delayUs(), () -> core.deliver(new Timer(action.token())));
    }

    private void probe(Probe action) {
        long sentUs = core.clock.micros();
        upstream.probe(action.member(), (result, note, waitedUs, response) -> core.deliver(
                new Probed(action.member(), result, core.clock.micros() - sentUs, null)));
    }
}
