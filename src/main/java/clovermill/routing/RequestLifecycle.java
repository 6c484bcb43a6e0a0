package clovermill.routing;

import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.CacheStatusDetail;
import clovermill.routing.api.Cancel;
import clovermill.routing.api.Fail;
import clovermill.routing.api.Reject;
import clovermill.routing.api.Request;
import clovermill.routing.api.Result;
import clovermill.routing.api.SetTimer;
import clovermill.routing.stats.ClassServiceTimes;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Leads each request from its arrival to its one final answer: first attempt, retries, pauses, hedges, cancellation and
 * rejection. Bounded by the requests that the host has open.
 */
final class RequestLifecycle {

    /** A request without a usable endpoint waits this long; a rejected client is asked to, in microseconds. */
    private static final long RETRY_PAUSE_US = 100_000;
    /** Errors of different endpoints that a request survives: with more it is taken to be at fault itself. */
    private static final int MAX_ERRORS_WITH_NOTES = 1;
    private static final int MAX_ERRORS_WITHOUT_NOTES = 2;

    private final RoutingContext context;
    private final EndpointSet endpoints;
    private final CapacityEstimator capacity;
    private final ClassServiceTimes serviceTimes;
    private final RouteSelector routes;
    private final AttemptSender sender;
    private final HedgingPolicy hedging;
    private final OutcomeObserver observer;
    /** Requests that are not finished or have attempts in flight, by id. */
    private final Map<String, PendingRequest> requests = new HashMap<>();
    /** Requests that wait for an endpoint, by the token of their timer. */
    private final Map<Long, PendingRequest> paused = new HashMap<>();
    private long nextToken;

    RequestLifecycle(RoutingContext context, EndpointSet endpoints, CapacityEstimator capacity,
            ClassServiceTimes serviceTimes, RouteSelector routes, AttemptSender sender, HedgingPolicy hedging,
            OutcomeObserver observer) {
        this.context = context;
        this.endpoints = endpoints;
        this.capacity = capacity;
        this.serviceTimes = serviceTimes;
        this.routes = routes;
        this.sender = sender;
        this.hedging = hedging;
        this.observer = observer;
    }

    /** A request has arrived. */
    void onRequest(Request request) {
        PendingRequest pending = new PendingRequest(request, context.settings, serviceTimes, context.nowUs);
        requests.put(request.id(), pending);
        serviceTimes.recordRequest(request.requestClass(), pending.serviceUs);
        hedging.recordRequest();
        attempt(pending);
    }

    /** An attempt has ended; one that is not known any more is ignored. */
    void onOutcome(AttemptEnded outcome) {
        PendingRequest pending = requests.get(outcome.request());
        Attempt attempt = pending == null ? null : pending.inFlight.remove(outcome.attempt());
        if (attempt == null) {
            return;
        }
        capacity.recordEnd(attempt, outcome.load());
        observer.observe(attempt, outcome);
        if (outcome.requestEnded() || pending.finished) {
            abandon(pending);
            return;
        }
        if (!outcome.result().neverRan() && !pending.mayHaveRun()) {
            pending.recordPossibleRun(attempt);
        }
        if (!pending.inFlight.isEmpty()) {
            return; // the hedge may still be answered
        }
        if (isFinalFailure(attempt, outcome)) {
            reject(pending);
        } else if (pending.attemptsSent > 1 || outcome.cacheStatus() == CacheStatus.ORIGIN_FAILED) {
            pause(pending);
        } else {
            attempt(pending);
        }
    }

    /** The client has left; ignored if its request is not known any more. */
    void onClientGone(String requestId) {
        PendingRequest pending = requests.get(requestId);
        if (pending != null) {
            abandon(pending);
        }
    }

    /** A timer is due: the request that waits for it, if any, gets its next attempt. */
    void onTimer(long token) {
        PendingRequest pending = paused.remove(token);
        if (pending != null && !pending.finished) {
            attempt(pending);
        }
    }

    /** Hedges the requests whose answers are overdue. */
    void hedgeOverdue() {
        for (Attempt overdue = hedging.pollOverdue(context.nowUs); overdue != null; overdue =
                hedging.pollOverdue(context.nowUs)) {
            hedge(overdue);
        }
    }

    /** Sends a request whose answer is overdue to a second endpoint too, which keeps no copy. */
    private void hedge(Attempt overdue) {
        PendingRequest pending = overdue.request();
        if (!hedging.takeBudget(overdue) || pending.isExhausted(context.nowUs, context.settings)) {
            return;
        }
        pending.excluded.add(overdue.route().target());
        pending.recordPossibleRun(overdue);
        Route route = routes.select(pending);
        if (route.hasTarget() && pending.mayRetryAt(route.target(), context.nowUs, context.settings)) {
            sender.send(pending, route.withoutCopy());
        }
    }

    /** Sends the next attempt of a request; pauses or rejects it where there is none. */
    private void attempt(PendingRequest pending) {
        Route route = pending.isExhausted(context.nowUs, context.settings) ? Route.NONE_IN_TIME
                : routes.select(pending);
        if (route == Route.NONE_AVAILABLE) {
            pending.excluded.clear();
            pause(pending);
        } else if (route == Route.NONE_IN_TIME
                || !pending.mayRetryAt(route.target(), context.nowUs, context.settings)) {
            reject(pending);
        } else {
            sender.send(pending, route);
        }
    }

    /** Whether no further attempt could do better: the part does not exist, is held nowhere, or the request errs. */
    private boolean isFinalFailure(Attempt attempt, AttemptEnded outcome) {
        Route route = attempt.route();
        boolean parentLacks = outcome.cacheStatus() == CacheStatus.SOURCE_MISS
                && endpoints.parents().endpoints.contains(route.source());
        boolean missWithoutFill = outcome.result() == Result.MISS
                && (route.onlyIfCached() || route.source() == route.target());
        int maxErrors = context.settings.cacheStatusDetail() == CacheStatusDetail.ALL ? MAX_ERRORS_WITH_NOTES
                : MAX_ERRORS_WITHOUT_NOTES;
        return parentLacks || missWithoutFill || attempt.request().errored.size() > maxErrors;
    }

    /** Nothing more is owed for a request; it is forgotten when its last attempt has ended. */
    private void finish(PendingRequest pending) {
        pending.finished = true;
        if (pending.inFlight.isEmpty()) {
            requests.remove(pending.request.id());
        }
    }

    /** Finishes a request that nobody waits for: attempts in flight would only take capacity from others. */
    private void abandon(PendingRequest pending) {
        finish(pending);
        if (context.settings.capabilities().cancellation()) {
            List.copyOf(pending.inFlight.keySet())
                    .forEach(index -> context.emit(new Cancel(pending.request.id(), index)));
        }
    }

    /**
     * Waits a little where no endpoint is usable, if the request could still be answered after that. A request that
     * nothing was sent for is rejected in the first half of its time: its client can still come again.
     */
    private void pause(PendingRequest pending) {
        long leftAfterUs = pending.deadlineUs - context.nowUs - RETRY_PAUSE_US;
        long minLeftUs = pending.attemptsSent > 0 ? 0 : pending.request.timeoutUs() / 2;
        if (leftAfterUs < Math.max(minLeftUs, pending.serviceUs + PendingRequest.MIN_ATTEMPT_US)) {
            reject(pending);
            return;
        }
        paused.put(nextToken, pending);
        context.emit(new SetTimer(RETRY_PAUSE_US, nextToken++));
    }

    /** The final answer: a refusal where a further try is harmless, else a failure. */
    private void reject(PendingRequest pending) {
        finish(pending);
        long retryAfterUs = Math.min(RETRY_PAUSE_US, context.settings.capabilities().maxRetryAfterUs());
        String id = pending.request.id();
        context.emit(pending.mayReject() ? new Reject(id, retryAfterUs) : new Fail(id));
    }
}
