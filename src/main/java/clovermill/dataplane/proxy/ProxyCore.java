package clovermill.dataplane.proxy;

import clovermill.routing.api.Action;
import clovermill.routing.api.CacheRouter;
import clovermill.routing.api.Cancel;
import clovermill.routing.api.ClientGone;
import clovermill.routing.api.CloseIdle;
import clovermill.routing.api.Effect;
import clovermill.routing.api.Event;
import clovermill.routing.api.Fail;
import clovermill.routing.api.Log;
import clovermill.routing.api.Members;
import clovermill.routing.api.Note;
import clovermill.routing.api.Permissions;
import clovermill.routing.api.Probe;
import clovermill.routing.api.Probed;
import clovermill.routing.api.Refuse;
import clovermill.routing.api.Request;
import clovermill.routing.api.RequestClass;
import clovermill.routing.api.Result;
import clovermill.routing.api.Retuned;
import clovermill.routing.api.Send;
import clovermill.routing.api.SendVia;
import clovermill.routing.api.SetTimer;
import clovermill.routing.api.Settings;
import clovermill.routing.api.Timer;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The core of a director, without any protocol in it: owns requests and their attempts, carries out what the
 * module decides and gives it back events with the meaning that they have on the simulator's wire.
 */
public final class ProxyCore {

    private static final System.Logger LOG = System.getLogger(ProxyCore.class.getName());

    private static final Predicate<String> ANY = member -> true;
    /** As the module asks of those whom it refuses. */
    private static final long AWAY_US = 100_000;

    private final CacheRouter router;
    private Permissions allowed;
    private List<RequestClass> classes;
    private long slackUs;
    final Clock clock;
    final Deadlines deadlines;
    private final Upstream upstream;
    /** Null where nobody keeps count. */
    final UsageListener audit;
    /** Null where nothing binds requests. */
    private final EndpointFilter bounds;
    private final Map<String, RequestContext> calls = new HashMap<>();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private boolean delivering;

    /** A host of whose requests nobody keeps count. */
    public ProxyCore(CacheRouter router, Settings settings, Clock clock, Deadlines deadlines,
            Upstream upstream) {
        this(router, settings, clock, deadlines, upstream, null, null);
    }

    /** {@code audit} and {@code bounds} may be null. */
    public ProxyCore(CacheRouter router, Settings settings, Clock clock, Deadlines deadlines,
            Upstream upstream, UsageListener audit, EndpointFilter bounds) {
        this.bounds = bounds;
        this.router = router;
        this.allowed = settings.allowed();
        this.classes = settings.classes();
        this.slackUs = settings.answerSlackUs();
        this.clock = clock;
        this.deadlines = deadlines;
        this.upstream = upstream;
        this.audit = audit;
    }

    /** Takes a request; {@code asker} gets its one answer, maybe before this returns. */
    public void submit(ClientRequest ask, ResponseHandler asker) {
        if (calls.size() >= allowed.maxOpen()) {
            asker.refused(allowed.maxRetryAfterUs() / 1000);
            recordRejected(ask, UsageRecord.End.REFUSED);
            return;
        }
        if (calls.containsKey(ask.id())) {
            asker.failed();
            recordRejected(ask, UsageRecord.End.FAILED);
            return;
        }
        long afterMs = audit == null ? UsageListener.ADMITTED : audit.retryAfterMillis(ask);
        if (afterMs != UsageListener.ADMITTED) {
            asker.refused(Math.min(afterMs, allowed.maxRetryAfterUs() / 1000));
            recordRejected(ask, UsageRecord.End.REFUSED);
            return;
        }
        RequestContext call = new RequestContext(this, ask, asker, bounds == null ? null : bounds.allowedMembers(ask));
        calls.put(ask.id(), call);
        deliver(new Request(ask.id(), ask.requestClass(), 0,
                Long.parseUnsignedLong(ask.object(), 16), ask.part(), ask.group(), ask.sizeKb(),
                ask.remainingMicros(), ask.repeat(), call.allowed == null ? ANY : call.allowed));
    }

    /** Tells the audit of a request that a front or the host turned away before the module saw it. */
    public void recordRejected(ClientRequest ask, UsageRecord.End how) {
        if (audit != null) {
            long nowUs = clock.micros();
            audit.requestEnded(new UsageRecord(ask, false, nowUs, nowUs, how, 0, null, null, null, 0, 0));
        }
    }

    /** Whether anybody keeps count. */
    public boolean recordsUsage() {
        return audit != null;
    }

    /** The client no longer waits: no answer is owed. */
    public void clientGone(String id) {
        RequestContext call = calls.get(id);
        if (call != null && !call.over()) {
            call.end();
            call.audited(UsageRecord.End.GONE);
            deliver(new ClientGone(id));
        }
    }

    /**
     * The client sends no more: it may have gone, or only read on. Nothing new begins for its request. What is out may
     * still be answered; where nothing is, the final answer is given now.
     */
    public void clientHalfClosed(String id) {
        RequestContext call = calls.get(id);
        if (call == null || call.over() || call.left()) {
            return;
        }
        call.leave();
        deliver(new ClientGone(id));
        for (Attempt attempt : List.copyOf(call.out.values())) {
            if (!attempt.begun()) {
                attempt.giveUp(Result.CANCELLED); // a module may not call off everywhere
            }
        }
        if (call.left() && call.out.isEmpty()) {
            call.endUnserved();
        }
    }

    /** Passes on news that come from no request: of the members, of purges. */
    public void tell(Event event) {
        if (audit != null && event instanceof Members news) {
            audit.membersChanged(news);
        }
        deliver(event);
    }

    /** Puts other settings in force, for requests that come from now on. */
    public void reload(Settings settings) {
        allowed = settings.allowed();
        classes = settings.classes();
        slackUs = settings.answerSlackUs();
        deliver(new Retuned(settings));
    }

    /** Gives every open request its final answer now: the end of the process is near. */
    public void answerOpenRequests() {
        for (RequestContext call : List.copyOf(calls.values())) {
            if (!call.over()) {
                if (call.sent == 0) {
                    call.refuse(Math.min(1, awayMs()));
                } else {
                    call.fail();
                }
                deliver(new ClientGone(call.ask.id()));
            }
        }
    }

    /**
     * Gives events to the module one after another: an action that ends something at once leads to a new
     * event after the present one, not inside it.
     */
    void deliver(Event event) {
        events.add(event);
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (Event next = events.poll(); next != null; next = events.poll()) {
                deliverOne(next);
            }
        } finally {
            delivering = false;
        }
    }

    /** A fault in the module must not end the process; the request's own deadline still answers it. */
    private void deliverOne(Event event) {
        try {
            router.handle(clock.micros(), event, this::perform);
        } catch (RuntimeException fault) {
            LOG.log(Level.ERROR, "the module failed on an event", fault);
        }
    }

    private void perform(Action action) {
        if (action instanceof SendVia a) {
            boolean filled = !a.source().equals(a.member());
            send(a.request(), a.member(), a.timeoutUs(), (call, left) -> new AttemptOrder(call.ask, a.member(),
                    left, filled ? a.source() : null, a.rank(), a.maxAgeUs(), a.join(), a.heldOnly(),
                    a.parentKeepsNone(), a.renew()));
        } else if (action instanceof Send a) {
            send(a.request(), a.member(), a.timeoutUs(), (call, left) -> new AttemptOrder(call.ask, a.member(),
                    left, null, 0, 0, false, false, false, false));
        } else if (action instanceof Cancel a) {
            RequestContext call = calls.get(a.request());
            Attempt attempt = call == null ? null : call.out.get(a.attempt());
            if (attempt != null && !(call.left() && attempt.begun())) {
                attempt.giveUp(Result.CANCELLED);
            }
        } else if (action instanceof Refuse a) {
            RequestContext call = calls.get(a.request());
            if (call != null && !call.over()) {
                call.refuse(Math.max(0, a.retryAfterUs()) / 1000);
            }
        } else if (action instanceof Fail a) {
            RequestContext call = calls.get(a.request());
            if (call != null && !call.over()) {
                call.fail();
            }
        } else if (action instanceof SetTimer a) {
            deadlines.add(clock.micros() + a.delayUs(), () -> deliver(new Timer(a.token())));
        } else if (action instanceof Probe a) {
            long sentUs = clock.micros();
            upstream.probe(a.member(), (result, note, waitedUs, answer) -> deliver(
                    new Probed(a.member(), result, clock.micros() - sentUs, null)));
        } else if (action instanceof CloseIdle a) {
            upstream.closeIdle(a.member());
        } else if (action instanceof Log a) {
            LOG.log(Level.INFO, a.line());
        }
        // Watch and FetchMembers ask for what the command channel pushes anyway; no director hears a Tell.
    }

    private interface Ordering {
        AttemptOrder order(RequestContext call, long timeoutUs);
    }

    /** Sends an attempt, its time-out cut to the client's deadline; one too many or too late is not sent. */
    private void send(String request, String member, long timeoutUs, Ordering ordering) {
        RequestContext call = calls.get(request);
        if (call == null) {
            LOG.log(Level.ERROR, "the module named the unknown request {0}", request);
            return;
        }
        Attempt attempt = new Attempt(this, call, member, windowUs(call.ask));
        long left = call.deadlineUs - attempt.sentUs;
        call.out.put(attempt.number, attempt);
        if (call.unwantedForUs() >= 0 || attempt.number >= allowed.maxAttempts() || left <= 0) {
            attempt.ended(Result.NOT_SENT, Note.NONE, 0, null);
            return;
        }
        long cut = timeoutUs == 0 ? left : Math.min(left, Math.max(0, timeoutUs));
        AttemptOrder order = ordering.order(call, cut);
        attempt.source = order.source();
        attempt.exchange = upstream.send(order, attempt);
        if (!attempt.ended()) {
            attempt.timeout = deadlines.add(attempt.sentUs + cut, () -> attempt.giveUp(Result.TIMED_OUT));
        }
    }

    /** How long after an attempt that may have run another may be sent. */
    private long windowUs(ClientRequest ask) {
        RequestClass kind = ask.requestClass() < classes.size() ? classes.get(ask.requestClass()) : null;
        return kind == null || kind.effect() != Effect.DEDUPLICATED ? Long.MAX_VALUE : kind.windowUs();
    }

    long slackUs() {
        return slackUs;
    }

    /** For how long a client that is refused is asked to keep away, in milliseconds. */
    long awayMs() {
        return Math.min(AWAY_US, allowed.maxRetryAfterUs()) / 1000;
    }

    void forget(RequestContext call) {
        calls.remove(call.ask.id(), call);
    }

    void overdue(RequestContext call) {
        LOG.log(Level.WARNING, "request {0} was overdue", call.ask.id());
        call.fail();
        deliver(new ClientGone(call.ask.id()));
    }
}
