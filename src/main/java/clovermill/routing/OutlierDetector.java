package clovermill.routing;

import clovermill.routing.api.Log;
import clovermill.routing.load.ConcurrencyEstimator;
import clovermill.routing.stats.CircuitBreaker;
import java.util.List;

/**
 * Outlier detection: takes endpoints that fail out of their ring by a circuit breaker each, and brings them back by
 * trials with real requests.
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

    /** Whether a request may go to an endpoint now: healthy, not failed before, allowed, within slow start's budget. */
    boolean isUsable(Endpoint endpoint, PendingRequest pending) {
        return isHealthy(endpoint) && !pending.excluded.contains(endpoint)
                && pending.request.memberFilter().test(endpoint.id) && slowStart.admits(endpoint);
    }

    /**
     * Whether an endpoint is in its ring: its breaker is closed or a trial is due. Where more than half of a ring's
     * breakers are open the cause is shared (a link, a hub, plain overload) and ejection would only move the load: then
     * only endpoints that cannot be reached stay out.
     */
    boolean isHealthy(Endpoint endpoint) {
        List<Endpoint> ring = endpoints.ringOf(endpoint).endpoints;
        boolean mostlyOpen = 2 * ring.stream().filter(other -> other.breaker.isOpen()).count() > ring.size();
        return endpoint.listed && (endpoint.breaker.allowsRequest(context.nowUs)
                || !endpoint.breaker.isFullyFailed() && mostlyOpen);
    }

    /** Records that a request was sent: to an endpoint whose breaker is open, this is the trial. */
    void recordAttempt(Endpoint endpoint) {
        endpoint.breaker.recordAttempt(context.nowUs);
    }

    /** An attempt timed out: a failure of an endpoint, which may be null, if that has answered nothing since. */
    void recordTimeout(Endpoint endpoint, Attempt attempt) {
        if (endpoint != null && !endpoint.breaker.succeededAfter(attempt.sentUs())) {
            recordFailure(endpoint);
        }
    }

    /**
     * A connection broke, which ends all attempts on it: they count as one failure, and are no proof of a restart (the
     * next connection is then refused). Could harm where an endpoint breaks every request and still accepts.
     */
    void recordBrokenConnection(Endpoint endpoint) {
        if (endpoint.breaker.recordBrokenConnection(context.nowUs, ConcurrencyEstimator.REJECTION_BACKOFF_US)) {
            recordFailure(endpoint);
        }
    }

    /** An endpoint could not be connected to, which opens its breaker at once. */
    void recordConnectFailure(Endpoint endpoint) {
        recordFailure(endpoint, 1, true);
    }

    /** An endpoint failed a request. */
    void recordFailure(Endpoint endpoint) {
        recordFailure(endpoint, CircuitBreaker.OUTCOME_WEIGHT, false);
    }

    private void recordFailure(Endpoint endpoint, double weight, boolean connectFailed) {
        if (endpoint.breaker.recordFailure(weight, connectFailed, context.nowUs)) {
            context.emit(new Log("left the ring: " + endpoint.role + " " + endpoint.id));
        }
    }

    /**
     * An endpoint answered. One that could not be reached before may have restarted, empty and cold, before the list
     * says so: it is taken to have started now. Could harm after a network fault: some seconds of less work.
     */
    void recordSuccess(Endpoint endpoint) {
        if (endpoint.breaker.recordSuccess(context.nowUs)) {
            slowStart.onStart(endpoint, context.nowUs);
        }
    }
}
