package clovermill.dataplane.proxy;

import clovermill.routing.api.CacheRouter;
import clovermill.routing.api.Effect;
import clovermill.routing.api.Event;
import clovermill.routing.api.HostCapabilities;
import clovermill.routing.api.MembersChanged;
import clovermill.routing.api.Request;
import clovermill.routing.api.RequestCancelled;
import clovermill.routing.api.RequestClass;
import clovermill.routing.api.Settings;
import clovermill.routing.api.SettingsChanged;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The protocol-independent core of a director. It owns the open requests and their attempts, executes the router's
 * actions and delivers events to the router with the same semantics as the simulator. Each request gets one answer, at
 * most half the answer slack after its deadline. Used only on the event loop's thread.
 */
public final class ProxyCore {

    private static final System.Logger LOG = System.getLogger(ProxyCore.class.getName());

    private static final Predicate<String> ALL_MEMBERS = member -> true;
    /** Retry delay for rejected clients, the same as the router's. */
    private static final long RETRY_AFTER_US = 100_000;
    /** Retry delay during a shutdown, when another director can serve the request immediately. */
    private static final long RETRY_ELSEWHERE_MS = 1;

    final Clock clock;
    final Deadlines deadlines;
    /** Listener that records usage; null if usage is not recorded. */
    private final UsageListener usageListener;
    /** Filter of members; null if requests may use all members. */
    private final EndpointFilter endpointFilter;
    private final Map<String, RequestContext> requests = new HashMap<>();
    private final RecentRuns recentRuns = new RecentRuns();
    private final EventQueue events;
    private HostCapabilities capabilities;
    private List<RequestClass> requestClasses;
    private long answerSlackUs;

    /** Creates a core that records no usage and whose requests may use all members. */
    public ProxyCore(CacheRouter router, Settings settings, Clock clock, Deadlines deadlines, Upstream upstream) {
        this(router, settings, clock, deadlines, upstream, null, null);
    }

    /** Creates a core; {@code usageListener} and {@code endpointFilter} may be null. */
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
        capabilities = settings.capabilities();
        requestClasses = settings.classes();
        answerSlackUs = settings.answerSlackUs();
    }

    /** Accepts a request or answers it immediately; {@code handler} may be called before this returns. */
    public void submit(ClientRequest request, ResponseHandler handler) {
        if (requests.size() >= capabilities.maxOpenRequests()) {
            handler.rejected(maxRetryAfterMs());
            recordRejected(request, UsageRecord.End.REFUSED);
            return;
        }
        if (requests.containsKey(request.id()) || recentRuns.contains(request.id())) {
            handler.failed();
            recordRejected(request, UsageRecord.End.FAILED);
            return;
        }
        long retryAfterMs =
                usageListener == null ? UsageListener.ADMITTED : usageListener.retryAfterMs(request);
        if (retryAfterMs != UsageListener.ADMITTED) {
            handler.rejected(Math.min(retryAfterMs, maxRetryAfterMs()));
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
        return capabilities.maxRetryAfterUs() / 1000;
    }

    /** Records the usage of a request that was rejected before it was routed, here or by a server. */
    public void recordRejected(ClientRequest request, UsageRecord.End end) {
        if (usageListener != null) {
            long nowUs = clock.micros();
            record(new UsageRecord(request, false, nowUs, nowUs, end, 0, null, null, null, 0, 0));
        }
    }

    /** Returns whether usage is recorded. */
    public boolean recordsUsage() {
        return usageListener != null;
    }

    void record(UsageRecord usage) {
        usageListener.requestEnded(usage);
    }

    /** Cancels a request whose client cancelled it or disconnected; it gets no answer. */
    public void cancelRequest(String requestId) {
        RequestContext context = requests.get(requestId);
        if (context != null && !context.hasEnded()) {
            context.end();
            context.recordUsage(UsageRecord.End.GONE);
            deliver(new RequestCancelled(requestId));
        }
    }

    /**
     * Handles the end of a client's output: it may have disconnected, or may still read. No further attempt begins.
     * Attempts that have begun may still serve the request; if there are none it gets its final answer now.
     */
    public void clientHalfClosed(String requestId) {
        RequestContext context = requests.get(requestId);
        if (context == null || context.hasEnded() || context.isHalfClosed()) {
            return;
        }
        context.halfClose();
        deliver(new RequestCancelled(requestId));
        context.cancelQueuedAttempts(); // the router need not cancel them
        if (context.isHalfClosed() && context.inFlight.isEmpty()) {
            context.endUnserved();
        }
    }

    /** Delivers an event that belongs to no request, such as a change of the members or a purge. */
    public void handle(Event event) {
        if (usageListener != null && event instanceof MembersChanged change) {
            usageListener.membersChanged(change);
        }
        deliver(event);
    }

    /** Applies new settings for requests that are submitted from now on. */
    public void reload(Settings settings) {
        apply(settings);
        deliver(new SettingsChanged(settings));
    }

    /** Sends every open request its final answer, at the end of a shutdown. */
    public void answerOpenRequests() {
        for (RequestContext context : List.copyOf(requests.values())) {
            if (!context.hasEnded()) {
                if (context.attempts == 0) {
                    context.reject(Math.min(RETRY_ELSEWHERE_MS, retryAfterMs()));
                } else {
                    context.fail();
                }
                deliver(new RequestCancelled(context.request.id()));
            }
        }
    }

    void deliver(Event event) {
        events.deliver(event);
    }

    /** Returns the request with this id, also while only attempts of it are in flight, or null. */
    RequestContext find(String requestId) {
        return requests.get(requestId);
    }

    HostCapabilities capabilities() {
        return capabilities;
    }

    /** Returns the time from an attempt that may have run until its last retry, {@link Long#MAX_VALUE} if unlimited. */
    long retryWindowUs(ClientRequest request) {
        RequestClass requestClass = classOf(request);
        return requestClass == null || requestClass.effect() != Effect.DEDUPLICATED ? Long.MAX_VALUE
                : requestClass.windowUs();
    }

    /** Returns the class of a request, or null if the settings in force do not have it. */
    private RequestClass classOf(ClientRequest request) {
        int index = request.requestClass();
        return index < requestClasses.size() ? requestClasses.get(index) : null;
    }

    long answerSlackUs() {
        return answerSlackUs;
    }

    /** Returns the retry delay for rejected clients, in milliseconds. */
    long retryAfterMs() {
        return Math.min(RETRY_AFTER_US, capabilities.maxRetryAfterUs()) / 1000;
    }

    void removeRequest(RequestContext context) {
        requests.remove(context.request.id(), context);
        RequestClass requestClass = classOf(context.request);
        if (context.mayHaveRun() && requestClass != null && requestClass.effect() == Effect.AT_MOST_ONCE) {
            recentRuns.add(context.request.id());
        }
    }

    /** Fails a request that the router has not answered by its deadline. */
    void failOverdue(RequestContext context) {
        LOG.log(Level.WARNING, "request {0} was overdue: the router gave no final answer",
                context.request.id());
        context.fail();
        deliver(new RequestCancelled(context.request.id()));
    }
}
