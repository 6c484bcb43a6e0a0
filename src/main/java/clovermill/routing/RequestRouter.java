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
 * The entry of the routing decisions: wires their parts and gives each event to the part that it concerns. One instance
 * serves one director. Not thread-safe; the host passes the time in microseconds of its monotonic clock.
 */
public final class RequestRouter implements CacheRouter {

    /** The token of the timer after which the list of members is asked for again. */
    private static final long MEMBER_LIST_TOKEN = Long.MAX_VALUE;

    private final RoutingContext context;
    private final EndpointSet endpoints;
    private final SlowStart slowStart;
    private final CapacityEstimator capacity;
    private final CacheContentsIndex contents;
    private final RequestLifecycle lifecycle;

    /** A router for one director; {@code seed} is the source of all its random numbers. */
    public RequestRouter(Settings settings, long seed) {
        ClassServiceTimes serviceTimes = new ClassServiceTimes();
        context = new RoutingContext(settings, seed);
        endpoints = new EndpointSet(context);
        slowStart = new SlowStart(context, endpoints, serviceTimes);
        capacity = new CapacityEstimator(context, endpoints);
        contents = new CacheContentsIndex(context);
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
        // Only now: the event may have ended a request, or listed an endpoint as draining.
        lifecycle.hedgeOverdue();
    }

    /** Gives an event to its method; events that the decisions make no use of are ignored. */
    private void dispatch(Event event) {
        if (event instanceof Request request) {
            lifecycle.onRequest(request);
        } else if (event instanceof AttemptEnded outcome) {
            lifecycle.onOutcome(outcome);
        } else if (event instanceof RequestCancelled cancelled) {
            lifecycle.onClientGone(cancelled.request());
        } else if (event instanceof TimerExpired timer) {
            onTimer(timer);
        } else if (event instanceof MembersChanged members) {
            onMembers(members);
        } else if (event instanceof DisabledMembersChanged change) {
            endpoints.setTakenOut(change.disabledIds());
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

    /** Where the list could not be had and is asked for by this director, it is asked for again after a while. */
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
