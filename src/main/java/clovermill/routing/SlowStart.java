package clovermill.routing;

import clovermill.routing.Endpoint.Role;
import clovermill.routing.api.SlowStartRule;
import clovermill.routing.stats.ClassServiceTimes;
import java.util.function.Predicate;

/**
 * Slow start: limits what an endpoint that has just started gets, because it has little capacity at first and fails
 * under the sum of all directors. Its capacity is reported nowhere; what warm endpoints have served this director for
 * each unit of weight is a safe estimate of this director's share of it.
 */
final class SlowStart {

    /** Share of the estimated budget that is used: weights are rough and the load of directors is uneven. */
    private static final double BUDGET_MARGIN = 0.7;

    private final RoutingContext context;
    private final EndpointSet endpoints;
    private final ClassServiceTimes serviceTimes;
    /** Held in a field because it is passed on at each event. */
    private final Predicate<Endpoint> warmingUp = this::isWarmingUp;

    SlowStart(RoutingContext context, EndpointSet endpoints, ClassServiceTimes serviceTimes) {
        this.context = context;
        this.endpoints = endpoints;
        this.serviceTimes = serviceTimes;
    }

    /** Lets time pass for the throughput of warm endpoints. */
    void advance() {
        endpoints.caches().advance(context.nowUs, warmingUp);
        endpoints.parents().advance(context.nowUs, warmingUp);
    }

    private SlowStartRule rule(Endpoint endpoint) {
        return endpoint.role == Role.PARENT ? context.settings.parentSlowStart() : context.settings.slowStart();
    }

    /** Whether an endpoint started less than the warm-up time ago. */
    boolean isWarmingUp(Endpoint endpoint) {
        return endpoint.role != Role.ORIGIN && endpoint.startedUs > 0
                && context.nowUs - endpoint.startedUs < rule(endpoint).durationUs();
    }

    /** Whether an endpoint is warm or has budget left; one request may overdraw it. */
    boolean admits(Endpoint endpoint) {
        return !isWarmingUp(endpoint) || budgetUs(endpoint) >= 0;
    }

    /**
     * The service time that this director may still ask of an endpoint, in microseconds. It refills at the rate of the
     * part of the capacity that the endpoint had, on average, since the last refill.
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
     * An endpoint has started: what was learned of it is void. The initial debt is random, so that many directors that
     * each send a first request keep within the sum.
     */
    void onStart(Endpoint endpoint, long startedUs) {
        endpoint.startedUs = startedUs;
        endpoint.breaker.reset();
        endpoint.concurrency.reset();
        endpoint.peerLoad.reset();
        endpoint.slowStartBudget.reset(context.random.nextDouble(), context.nowUs);
    }

    /** Takes the cost of an attempt from an endpoint's budget. */
    void chargeAttempt(Endpoint endpoint, PendingRequest pending) {
        endpoint.slowStartBudget.consume(serviceUs(pending));
    }

    /** Records what a warm endpoint has served; what it was only sent, or has rejected, would raise the estimate. */
    void recordServed(Endpoint endpoint, PendingRequest pending) {
        if (endpoint.role != Role.ORIGIN && !isWarmingUp(endpoint)) {
            endpoints.ringOf(endpoint).throughput.add(serviceUs(pending));
        }
    }

    private double serviceUs(PendingRequest pending) {
        return Math.max(1, serviceTimes.meanUs(pending.request.requestClass()));
    }
}
