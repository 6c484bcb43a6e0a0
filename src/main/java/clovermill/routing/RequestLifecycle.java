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
 * Manages each request from its arrival to its one final response: first attempt, retries, pauses, hedges, cancellation
 * and rejection. Bounded by the host's open requests.
 */
final class RequestLifecycle {

    /** Delay before a retry if no endpoint is usable, also the retry delay of rejected clients, in microseconds. */
    private static final long RETRY_PAUSE_US = 100_000;
    /** Errors of different endpoints after which a request is still retried; with more, the request is at fault. */
    private static final int MAX_ERRORS_WITH_CACHE_STATUS = 1;
    private static final int MAX_ERRORS_WITHOUT_CACHE_STATUS = 2;

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
    /** Requests that are waiting for a retry, by the token of their timer. */
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

    /** Handles the arrival of a request. */
    void onRequest(Request request) {
        PendingRequest pending = new PendingRequest(request, context.settings, serviceTimes, context.nowUs);
        requests.put(request.id(), pending);
        serviceTimes.recordRequest(request.requestClass(), pending.serviceUs);
        hedging.recordRequest();
        attempt(pending);
    }

    /** Handles the end of an attempt; ignores an unknown one. */
    void onAttemptEnded(AttemptEnded outcome) {
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
        if (!outcome.result().neverRan() && !pending.mayHaveExecuted()) {
            pending.recordPossibleExecution(attempt);
        }
        if (!pending.inFlight.isEmpty()) {
            return; // the other attempt may still succeed
        }
        if (isFinalFailure(attempt, outcome)) {
            reject(pending);
        } else if (pending.attemptsSent > 1 || outcome.cacheStatus() == CacheStatus.ORIGIN_FAILED) {
            pause(pending);
        } else {
            attempt(pending);
        }
    }

    /** Handles the cancellation of a request by its client; ignores an unknown one. */
    void onRequestCancelled(String requestId) {
        PendingRequest pending = requests.get(requestId);
        if (pending != null) {
            abandon(pending);
        }
    }

    /** Handles the expiry of a timer: retries the request that waits for it, if any. */
    void onTimer(long token) {
        PendingRequest pending = paused.remove(token);
        if (pending != null && !pending.finished) {
            attempt(pending);
        }
    }

    /** Hedges the requests whose responses are overdue. */
    void hedgeOverdue() {
        for (Attempt overdue = hedging.pollOverdue(context.nowUs); overdue != null; overdue =
                hedging.pollOverdue(context.nowUs)) {
            hedge(overdue);
        }
    }

    /** Also sends a request whose response is overdue to a second endpoint, which caches no copy. */
    private void hedge(Attempt overdue) {
        PendingRequest pending = overdue.request();
        if (!hedging.takeBudget(overdue) || pending.isExhausted(context.nowUs, context.settings)) {
            return;
        }
        pending.excluded.add(overdue.route().target());
        pending.recordPossibleExecution(overdue);
        Route route = routes.select(pending);
        if (route.hasTarget() && pending.mayRetryAt(route.target(), context.nowUs, context.settings)) {
            sender.send(pending, route.withoutCopy());
        }
    }

    /** Sends the next attempt of a request; pauses or rejects the request if there is no route. */
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

    /**
     * Returns whether no further attempt could succeed: the part does not exist or is not cached, or the request itself
     * causes the errors.
     */
    private boolean isFinalFailure(Attempt attempt, AttemptEnded outcome) {
        Route route = attempt.route();
        boolean parentMiss = outcome.cacheStatus() == CacheStatus.SOURCE_MISS
                && endpoints.parents().endpoints.contains(route.source());
        boolean missWithoutFill = outcome.result() == Result.MISS
                && (route.onlyIfCached() || route.source() == route.target());
        int maxErrors = context.settings.cacheStatusDetail() == CacheStatusDetail.ALL ? MAX_ERRORS_WITH_CACHE_STATUS
                : MAX_ERRORS_WITHOUT_CACHE_STATUS;
        return parentMiss || missWithoutFill || attempt.request().errored.size() > maxErrors;
    }

    /** Marks a request as finished; removes it once its last attempt has ended. */
    private void finish(PendingRequest pending) {
        pending.finished = true;
        if (pending.inFlight.isEmpty()) {
            requests.remove(pending.request.id());
        }
    }

    /** Finishes a request that no client waits for and cancels its attempts, which would only use capacity. */
    private void abandon(PendingRequest pending) {
        finish(pending);
        if (context.settings.capabilities().cancellation()) {
            List.copyOf(pending.inFlight.keySet())
                    .forEach(index -> context.emit(new Cancel(pending.request.id(), index)));
        }
    }

    /**
     * Delays the next attempt if the request could still be answered after that, else rejects the request. A request
     * without any attempt is rejected within the first half of its timeout, so that its client can still retry.
     */
    private void pause(PendingRequest pending) {
        long remainingAfterUs = pending.deadlineUs - context.nowUs - RETRY_PAUSE_US;
        long minRemainingUs = pending.attemptsSent > 0 ? 0 : pending.request.timeoutUs() / 2;
        if (remainingAfterUs < Math.max(minRemainingUs, pending.serviceUs + PendingRequest.MIN_ATTEMPT_US)) {
            reject(pending);
            return;
        }
        paused.put(nextToken, pending);
        context.emit(new SetTimer(RETRY_PAUSE_US, nextToken++));
    }

    /** Sends the final response: a rejection if a retry by the client is safe, else a failure. */
    private void reject(PendingRequest pending) {
        finish(pending);
        long retryAfterUs = Math.min(RETRY_PAUSE_US, context.settings.capabilities().maxRetryAfterUs());
        String id = pending.request.id();
        context.emit(pending.mayReject() ? new Reject(id, retryAfterUs) : new Fail(id));
    }
}
