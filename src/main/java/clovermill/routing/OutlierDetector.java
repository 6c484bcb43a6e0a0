package clovermill.routing;

import clovermill.routing.api.Log;
import clovermill.routing.load.ConcurrencyEstimator;
import clovermill.routing.stats.CircuitBreaker;

/**
 * Outlier detection: ejects failing endpoints from their ring by a circuit breaker each, and readmits them after a
 * trial with a real request.
 */
final class OutlierDetector {

    private final RoutingContext context;
    private final EndpointSet endpoints;
    private final SlowStart slowStart;

    OutlierDetector(RoutingContext context, EndpointSet endpoints, SlowStart slowStart) {
        this.context = context;
        this.endpoints = endpoints;
        this.slowStart = slowStart;
    }

    /**
     * Returns whether a request may go to an endpoint now: the endpoint is healthy, has not failed this request, is
     * accepted by its member filter and is within its slow-start budget.
     */
    boolean isUsable(Endpoint endpoint, PendingRequest pending) {
        return isHealthy(endpoint) && !pending.excluded.contains(endpoint)
                && pending.request.memberFilter().test(endpoint.id) && slowStart.admits(endpoint);
    }

    /**
     * Returns whether an endpoint is in its ring: its breaker is closed or a trial is due. If more than half of a
     * ring's breakers are open, the cause is shared (a link, a hub, plain overload) and ejection would only move the
     * load: then only endpoints that cannot be reached remain ejected.
     */
    boolean isHealthy(Endpoint endpoint) {
        return endpoint.listed && (endpoint.breaker.allowsRequest(context.nowUs)
                || !endpoint.breaker.isFullyFailed() && endpoints.ringOf(endpoint).isMostlyOpen());
    }

    /** Records that a request was sent, which is the trial if the endpoint's breaker is open. */
    void recordAttempt(Endpoint endpoint) {
        endpoint.breaker.recordAttempt(context.nowUs);
    }

    /**
     * Records a timeout as a failure of an endpoint, which may be null, if it has answered nothing since the attempt.
     */
    void recordTimeout(Endpoint endpoint, Attempt attempt) {
        if (endpoint != null && !endpoint.breaker.succeededAfter(attempt.sentUs())) {
            recordFailure(endpoint);
        }
    }

    /**
     * Records the loss of a connection. All attempts on it end, but they count as one failure and do not prove a
     * restart (in that case the next connection is refused). Drawback: an endpoint that accepts connections and closes
     * them on every request is ejected late.
     */
    void recordConnectionLoss(Endpoint endpoint) {
        if (endpoint.breaker.recordConnectionLoss(context.nowUs, ConcurrencyEstimator.REJECTION_BACKOFF_US)) {
            recordFailure(endpoint);
        }
    }

    /** Records that no connection to an endpoint could be made, which opens its breaker at once. */
    void recordConnectFailure(Endpoint endpoint) {
        recordFailure(endpoint, 1, true);
    }

    /** Records that an endpoint failed a request. */
    void recordFailure(Endpoint endpoint) {
        recordFailure(endpoint, CircuitBreaker.OUTCOME_WEIGHT, false);
    }

    private void recordFailure(Endpoint endpoint, double weight, boolean connectFailed) {
        boolean opensAnew = endpoint.breaker.recordFailure(weight, connectFailed, context.nowUs);
        endpoints.ringOf(endpoint).breakerChanged();
        if (opensAnew) {
            context.emit(new Log("left the ring: " + endpoint.role + " " + endpoint.id));
        }
    }

    /**
     * Records a success of an endpoint. If it could not be reached before, it may have restarted, empty and cold,
     * before the member list shows it, so it is treated as started now. Drawback: after a mere network fault it gets
     * less load for some seconds.
     */
    void recordSuccess(Endpoint endpoint) {
        boolean wasOpen = endpoint.breaker.isOpen();
        boolean reachableAgain = endpoint.breaker.recordSuccess(context.nowUs);
        if (wasOpen) {
            endpoints.ringOf(endpoint).breakerChanged();
        }
        if (reachableAgain) {
            slowStart.onStart(endpoint, context.nowUs);
        }
    }
}
