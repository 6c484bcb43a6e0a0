package clovermill.routing;

import clovermill.routing.api.Action;
import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.CacheRouter;
import clovermill.routing.api.DisabledMembersChanged;
import clovermill.routing.api.Event;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.MembersChanged;
import clovermill.routing.api.Purge;
import clovermill.routing.api.Request;
import clovermill.routing.api.RequestCancelled;
import clovermill.routing.api.SetTimer;
import clovermill.routing.api.Settings;
import clovermill.routing.api.SettingsChanged;
import clovermill.routing.api.TimerExpired;
import clovermill.routing.api.WatchMembers;
import clovermill.routing.stats.CircuitBreaker;
import clovermill.routing.stats.ClassServiceTimes;
import java.util.function.Consumer;

/**
 * The entry point of the routing decisions: creates their components and dispatches each event to its component. One
 * instance serves one director. Not thread-safe; the host passes the time in microseconds of its monotonic clock.
 */
public final class RequestRouter implements CacheRouter {

    /** The heap that the index of parts may take where the host sets no limit, in bytes. */
    public static final long DEFAULT_INDEX_BYTES = 16 << 20;
    /** The token of the timer after which the member list is requested again. */
    private static final long MEMBER_LIST_TOKEN = Long.MAX_VALUE;

    private final RoutingContext context;
    private final EndpointSet endpoints;
    private final SlowStart slowStart;
    private final CapacityEstimator capacity;
    private final CacheContentsIndex contents;
    private final RequestLifecycle lifecycle;

    /** Creates a router whose index of parts takes at most {@link #DEFAULT_INDEX_BYTES}. */
    public RequestRouter(Settings settings, long seed) {
        this(settings, seed, DEFAULT_INDEX_BYTES);
    }

    /**
     * Creates a router for one director.
     *
     * @param seed initializes its random number generator
     * @param indexBytes the heap that the index of the parts at caches may take, in bytes
     */
    public RequestRouter(Settings settings, long seed, long indexBytes) {
        ClassServiceTimes serviceTimes = new ClassServiceTimes();
        context = new RoutingContext(settings, seed);
        endpoints = new EndpointSet(context);
        slowStart = new SlowStart(context, endpoints, serviceTimes);
        capacity = new CapacityEstimator(context, endpoints);
        contents = new CacheContentsIndex(context, indexBytes);
        OutlierDetector outliers = new OutlierDetector(context, endpoints, slowStart);
        OriginLoadShedder originShedder = new OriginLoadShedder(context);
        RouteSelector routes = new RouteSelector(context, endpoints, contents, capacity, outliers, slowStart,
                originShedder);
        OutcomeObserver observer = new OutcomeObserver(context, endpoints, contents, capacity, outliers, slowStart,
                originShedder, serviceTimes);
        HedgingPolicy hedging = new HedgingPolicy();
        AttemptSender sender = new AttemptSender(context, contents, capacity, outliers, slowStart, hedging);
        lifecycle = new RequestLifecycle(context, endpoints, capacity, serviceTimes, routes, sender, hedging,
                observer);
    }

    @Override
    public void handle(long nowUs, Event event, Consumer<Action> actions) {
        context.begin(nowUs, actions);
        capacity.advance();
        slowStart.advance();
        if (context.startedUs == RoutingContext.NEVER) {
            onFirstEvent();
        }
        dispatch(event);
        // After the event, which may have ended a request or listed an endpoint as draining.
        lifecycle.hedgeOverdue();
    }

    /** Dispatches an event; ignores events that no decision uses. */
    private void dispatch(Event event) {
        if (event instanceof Request request) {
            lifecycle.onRequest(request);
        } else if (event instanceof AttemptEnded outcome) {
            lifecycle.onAttemptEnded(outcome);
        } else if (event instanceof RequestCancelled cancelled) {
            lifecycle.onRequestCancelled(cancelled.request());
        } else if (event instanceof TimerExpired timer) {
            onTimer(timer);
        } else if (event instanceof MembersChanged members) {
            onMembers(members);
        } else if (event instanceof DisabledMembersChanged change) {
            endpoints.setDisabled(change.disabledIds());
        } else if (event instanceof Purge purge) {
            contents.recordPurge(purge);
        } else if (event instanceof SettingsChanged change) {
            context.settings = change.settings();
        }
    }

    private void onFirstEvent() {
        context.startedUs = context.nowUs;
        if (context.settings.listOnRequest()) {
            context.emit(new WatchMembers(true));
        }
    }

    /** Applies the member list; if a request of this director for it failed, it is requested again after a delay. */
    private void onMembers(MembersChanged members) {
        if (members.scope() == ListScope.FAILED && context.settings.listOnRequest()) {
            context.emit(new SetTimer(CircuitBreaker.FIRST_TRIAL_DELAY_US, MEMBER_LIST_TOKEN));
        }
        endpoints.update(members, slowStart::onStart);
    }

    private void onTimer(TimerExpired timer) {
        if (timer.token() == MEMBER_LIST_TOKEN) {
            context.emit(new WatchMembers(true));
        } else {
            lifecycle.onTimer(timer.token());
        }
    }
}
