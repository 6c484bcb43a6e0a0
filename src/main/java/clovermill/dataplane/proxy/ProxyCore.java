package clovermill.dataplane.proxy;

import clovermill.routing.api.CacheRouter;
import clovermill.routing.api.ClientGone;
import clovermill.routing.api.Effect;
import clovermill.routing.api.Event;
import clovermill.routing.api.Members;
import clovermill.routing.api.Permissions;
import clovermill.routing.api.Request;
import clovermill.routing.api.RequestClass;
import clovermill.routing.api.Retuned;
import clovermill.routing.api.Settings;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The protocol-independent core of a director: owns the open requests and their attempts, executes the router's actions
 * and delivers events to it with the meaning that they have on the simulator's wire. Each request gets one answer, at
 * the latest half the answer slack after its deadline. Used on the loop's thread only.
 */
public final class ProxyCore {

    private static final System.Logger LOG = System.getLogger(ProxyCore.class.getName());

    private static final Predicate<String> ALL_MEMBERS = member -> true;
    /** The delay that the router asks of rejected clients, too. */
    private static final long RETRY_AFTER_US = 100_000;
    /** During a shutdown another director can serve a retry at once. */
    private static final long RETRY_ELSEWHERE_MS = 1;

    final Clock clock;
    final Deadlines deadlines;
    /** Null if usage is not recorded. */
    private final UsageListener usageListener;
    /** Null if requests may use all members. */
    private final EndpointFilter endpointFilter;
    private final Map<String, RequestContext> requests = new HashMap<>();
    private final EventQueue events;
    private Permissions permissions;
    private List<RequestClass> requestClasses;
    private long answerSlackUs;

    /** A core whose usage is not recorded, and whose requests may use all members. */
    public ProxyCore(CacheRouter router, Settings settings, Clock clock, Deadlines deadlines, Upstream upstream) {
        this(router, settings, clock, deadlines, upstream, null, null);
    }

    /** {@code usageListener} and {@code endpointFilter} may be null. */
    public ProxyCore(CacheRouter router, Settings settings, Clock clock, Deadlines deadlines, Upstream upstream,
            UsageListener usageListener, EndpointFilter endpointFilter) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.usageListener = usageListener;
        this.endpointFilter = endpointFilter;
        this.events = new EventQueue(router, clock, new ActionExecutor(this, upstream));
        apply(settings);
    }

    private void apply(Settings settings) {
        permissions = settings.allowed();
        requestClasses = settings.classes();
        answerSlackUs = settings.answerSlackUs();
    }

    /** Accepts a request, or answers it at once; {@code handler} may be called before this returns. */
    public void submit(ClientRequest request, ResponseHandler handler) {
        if (requests.size() >= permissions.maxOpen()) {
            handler.refused(maxRetryAfterMs());
            recordRejected(request, UsageRecord.End.REFUSED);
            return;
        }
        if (requests.containsKey(request.id())) {
            handler.failed();
            recordRejected(request, UsageRecord.End.FAILED);
            return;
        }
        long retryAfterMs =
                usageListener == null ? UsageListener.ADMITTED : usageListener.retryAfterMs(request);
        if (retryAfterMs != UsageListener.ADMITTED) {
            handler.refused(Math.min(retryAfterMs, maxRetryAfterMs()));
            recordRejected(request, UsageRecord.End.REFUSED);
            return;
        }
        Predicate<String> allowed = endpointFilter == null ? null : endpointFilter.allowedMembers(request);
        requests.put(request.id(), new RequestContext(this, request, handler, allowed));
        deliver(new Request(request.id(), request.requestClass(), 0, Long.parseUnsignedLong(request.object(), 16),
                request.part(), request.group(), request.sizeKb(), request.remainingUs(), request.repeat(),
                allowed == null ? ALL_MEMBERS : allowed));
    }

    private long maxRetryAfterMs() {
        return permissions.maxRetryAfterUs() / 1000;
    }

    /** Records the usage of a request that was rejected before it was routed, here or by a server. */
    public void recordRejected(ClientRequest request, UsageRecord.End end) {
        if (usageListener != null) {
            long nowUs = clock.micros();
            record(new UsageRecord(request, false, nowUs, nowUs, end, 0, null, null, null, 0, 0));
        }
    }

    /** Whether usage is recorded. */
    public boolean recordsUsage() {
        return usageListener != null;
    }

    void record(UsageRecord usage) {
        usageListener.requestEnded(usage);
    }

    /** The client has gone or has cancelled the request: no answer is owed. */
    public void clientGone(String requestId) {
        RequestContext context = requests.get(requestId);
        if (context != null && !context.isOver()) {
            context.end();
            context.recordUsage(UsageRecord.End.GONE);
            deliver(new ClientGone(requestId));
        }
    }

    /**
     * The client has closed its output: it may have gone, or may still read. No attempt begins any more. Attempts that
     * have begun may still serve the request; if there are none it gets its final answer now.
     */
    public void clientHalfClosed(String requestId) {
        RequestContext context = requests.get(requestId);
        if (context == null || context.isOver() || context.isHalfClosed()) {
            return;
        }
        context.halfClose();
        deliver(new ClientGone(requestId));
        context.cancelQueuedAttempts(); // the router is not bound to cancel them
        if (context.isHalfClosed() && context.inFlight.isEmpty()) {
            context.endUnserved();
        }
    }

    /** Passes on an event that belongs to no request, such as a change of the members or a purge. */
    public void handle(Event event) {
        if (usageListener != null && event instanceof Members change) {
            usageListener.membersChanged(change);
        }
        deliver(event);
    }

    /** Applies other settings, for requests that are submitted from now on. */
    public void reload(Settings settings) {
        apply(settings);
        deliver(new Retuned(settings));
    }

    /** Gives every open request its final answer, at the end of a shutdown. */
    public void answerOpenRequests() {
        for (RequestContext context : List.copyOf(requests.values())) {
            if (!context.isOver()) {
                if (context.attempts == 0) {
                    context.refuse(Math.min(RETRY_ELSEWHERE_MS, retryAfterMs()));
                } else {
                    context.fail();
                }
                deliver(new ClientGone(context.request.id()));
            }
        }
    }

    void deliver(Event event) {
        events.deliver(event);
    }

    /** The request of that id, also while only attempts of it are in flight, or null. */
    RequestContext find(String requestId) {
        return requests.get(requestId);
    }

    Permissions permissions() {
        return permissions;
    }

    /** Time from an attempt that may have run until the last retry of it, {@link Long#MAX_VALUE} if unlimited. */
    long retryWindowUs(ClientRequest request) {
        int index = request.requestClass();
        RequestClass requestClass = index < requestClasses.size() ? requestClasses.get(index) : null;
        return requestClass == null || requestClass.effect() != Effect.DEDUPLICATED ? Long.MAX_VALUE
                : requestClass.windowUs();
    }

    long answerSlackUs() {
        return answerSlackUs;
    }

    /** Delay that a rejected client is asked to wait, in milliseconds. */
    long retryAfterMs() {
        return Math.min(RETRY_AFTER_US, permissions.maxRetryAfterUs()) / 1000;
    }

    void forget(RequestContext context) {
        requests.remove(context.request.id(), context);
    }

    /** Called when the router has not answered a request by its deadline. */
    void failOverdue(RequestContext context) {
        LOG.log(Level.WARNING, "request {0} was overdue: the router gave no final answer",
                context.request.id());
        context.fail();
        deliver(new ClientGone(context.request.id()));
    }
}
