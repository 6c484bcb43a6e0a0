package clovermill.routing;

import clovermill.routing.Endpoint.Role;
import clovermill.routing.api.SlowStartRule;
import clovermill.routing.stats.ClassServiceTimes;
import java.util.function.Predicate;

/**
 * Slow start: limits the load of an endpoint that has just started, because its capacity is low at first and the load
 * of all directors together makes it fail. Its capacity is not reported; the throughput of warm endpoints for this
 * director per unit of weight is a safe estimate of this director's share of it.
 */
final class SlowStart {

    /** Share of the estimated budget that is used, as weights are rough and the load of directors is uneven. */
    private static final double BUDGET_MARGIN = 0.7;

    private final RoutingContext context;
    private final EndpointSet endpoints;
    private final ClassServiceTimes serviceTimes;
    /** Allocated once because it is used for each event. */
    private final Predicate<Endpoint> warmingUp = this::isWarmingUp;

    SlowStart(RoutingContext context, EndpointSet endpoints, ClassServiceTimes serviceTimes) {
        this.context = context;
        this.endpoints = endpoints;
        this.serviceTimes = serviceTimes;
    }

    /** Advances the throughput of warm endpoints to the time of the current event. */
    void advance() {
        endpoints.caches().advance(context.nowUs, warmingUp);
        endpoints.parents().advance(context.nowUs, warmingUp);
    }

    private SlowStartRule rule(Endpoint endpoint) {
        return endpoint.role == Role.PARENT ? context.settings.parentSlowStart() : context.settings.slowStart();
    }

    /** Returns whether an endpoint is within its slow-start duration. */
    boolean isWarmingUp(Endpoint endpoint) {
        return endpoint.role != Role.ORIGIN && endpoint.startedUs > 0
                && context.nowUs - endpoint.startedUs < rule(endpoint).durationUs();
    }

    /** Returns whether an endpoint is warm or has budget left; one request may overdraw it. */
    boolean admits(Endpoint endpoint) {
        return !isWarmingUp(endpoint) || budgetUs(endpoint) >= 0;
    }

    /**
     * Returns the service time that this director may still request of an endpoint, in microseconds. It refills at the
     * rate of the mean share of its capacity that the endpoint had since the last refill.
     */
    private double budgetUs(Endpoint endpoint) {
        SlowStartRule rule = rule(endpoint);
        double meanAgeUs = Math.max(0,
                (context.nowUs + endpoint.slowStartBudget.lastRefillUs()) / 2.0 - endpoint.startedUs);
        double capacityShare =
                rule.initialShare() + (1 - rule.initialShare()) * Math.min(1, meanAgeUs / rule.durationUs());
        double ratePerUs = BUDGET_MARGIN * rule.overloadMultiple() * capacityShare
                * endpoints.ringOf(endpoint).throughput.rate() * endpoint.weight;
        return endpoint.slowStartBudget.refill(ratePerUs, serviceTimes.largestMeanUs(),
                1.0 / endpoints.directorsSharing(endpoint), context.nowUs);
    }

    /**
     * Handles the start of an endpoint: discards its statistics. The initial debt is random, so that the first requests
     * of many directors together stay within the limit.
     */
    void onStart(Endpoint endpoint, long startedUs) {
        endpoint.startedUs = startedUs;
        endpoint.breaker.reset();
        endpoints.ringOf(endpoint).breakerChanged();
        endpoint.concurrency.reset();
        endpoint.peerLoad.reset();
        endpoint.slowStartBudget.reset(context.random.nextDouble(), context.nowUs);
    }

    /** Charges an attempt to an endpoint's budget. */
    void chargeAttempt(Endpoint endpoint, PendingRequest pending) {
        endpoint.slowStartBudget.consume(serviceUs(pending));
    }

    /** Records a request served by a warm endpoint; unserved or rejected ones would make the estimate too high. */
    void recordServed(Endpoint endpoint, PendingRequest pending) {
        if (endpoint.role != Role.ORIGIN && !isWarmingUp(endpoint)) {
            endpoints.ringOf(endpoint).throughput.add(serviceUs(pending));
        }
    }

    private double serviceUs(PendingRequest pending) {
        return Math.max(1, serviceTimes.meanUs(pending.request.requestClass()));
    }
}
