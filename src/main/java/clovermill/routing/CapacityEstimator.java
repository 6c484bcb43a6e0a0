package clovermill.routing;

import clovermill.routing.Attempt.LoadSnapshot;
import clovermill.routing.Endpoint.Role;
import clovermill.routing.api.LoadReport;
import clovermill.routing.load.ConcurrencyEstimator;
import clovermill.routing.stats.DeadlineQueue;
import clovermill.routing.stats.InFlightCount;
import java.util.List;

/**
 * Estimates the load and the capacity of endpoints and of the inbound link, both in transfers, from configuration, load
 * reports and response times. Predicts from both whether an endpoint would answer a request in time.
 */
final class CapacityEstimator {

    /** The share of the latency target from which on a loaded cache hands a request over to another one. */
    static final double HANDOVER_SHARE = 0.6;

    private final RoutingContext context;
    private final EndpointSet endpoints;
    /** The inbound link of the location, shared by all fills; its capacity is learned if its rate is not configured. */
    private final Endpoint link = new Endpoint("link", -1);
    /**
     * Attempts that count as load, until they end or exceed their latency target: an attempt that hangs is not a
     * transfer. Bounded by the open requests.
     */
    private final DeadlineQueue<Attempt> counted = new DeadlineQueue<>(Attempt::targetUs);

    CapacityEstimator(RoutingContext context, EndpointSet endpoints) {
        this.context = context;
        this.endpoints = endpoints;
        double linkKbPerS = context.settings.linkKbPerS();
        link.weight = linkKbPerS > 0 ? linkKbPerS / context.settings.paceKbPerS() : Double.NaN;
    }

    /** Returns the current load along a route. */
    LoadSnapshot loadOn(Route route) {
        return new LoadSnapshot(load(route.target()), route.fillExpected() ? load(route.source()) : 0, load(link));
    }

    /** Adds an attempt that was sent to the load. */
    void recordSent(Attempt attempt) {
        addToLoad(attempt, 1);
        counted.add(attempt);
    }

    /** Records the end of an attempt; {@code report}, the endpoint's load report, may be null. */
    void recordEnd(Attempt attempt, LoadReport report) {
        if (counted.remove(attempt)) {
            addToLoad(attempt, -1);
        }
        if (report != null) {
            attempt.route().target().peerLoad.recordReport(report.concurrency(), context.nowUs);
            link.peerLoad.recordReport(report.linkUtilization() * link.weight, context.nowUs);
        }
    }

    /** Samples attempts that have exceeded their latency target: their endpoint is at least that slow. */
    void advance() {
        for (Attempt late = counted.pollDue(context.nowUs); late != null; late = counted.pollDue(context.nowUs)) {
            addToLoad(late, -1);
            Route route = late.route();
            Endpoint slow = route.fillExpected() ? route.source() : route.target();
            if (!slow.concurrency.sampledAfter(late.sentUs())) {
                recordPace(late, slow != route.target(), late.request().targetLatencyUs);
            }
        }
    }

    /** Adds an attempt to the load of its target and, if a fill is expected, of its source and the link. */
    private void addToLoad(Attempt attempt, int delta) {
        Route route = attempt.route();
        for (Endpoint loaded : route.fillExpected() ? List.of(route.target(), route.source(), link)
                : List.of(route.target())) {
            loaded.inFlight.add(delta, context.nowUs);
            if (attempt.request().isPaceBound()) {
                loaded.concurrency.recordActivity(context.nowUs);
            }
        }
    }

    /**
     * Records the time that a response took, or has taken so far: as a sample of the target if it was a hit, otherwise
     * of the source and the link. A slowdown that the source's known load explains is no evidence about the link.
     */
    void recordPace(Attempt attempt, boolean filled, long elapsedUs) {
        if (!attempt.request().isPaceBound()) {
            return;
        }
        LoadSnapshot atSend = attempt.loadAtSend();
        double slowdown = Math.max(1, (double) elapsedUs / attempt.request().serviceUs);
        if (!filled) {
            recordSample(attempt.route().target(), atSend.target(), slowdown);
            return;
        }
        Endpoint source = attempt.route().source();
        boolean explainedBySource = atSend.source() + 1 >= Math.max(ConcurrencyEstimator.SATURATION_SLOWDOWN, slowdown)
                * capacity(source);
        recordSample(source, atSend.source(), slowdown);
        if (!explainedBySource) {
            recordSample(link, atSend.link(), slowdown);
        }
    }

    private void recordSample(Endpoint endpoint, double loadAtSend, double slowdown) {
        double meanLoad = (loadAtSend + load(endpoint)) / 2 + 1;
        endpoint.concurrency.recordSample(meanLoad / slowdown, slowdown, capacity(endpoint), context.nowUs);
    }

    /** Records that an endpoint rejected a request. */
    void recordRejection(Endpoint endpoint) {
        endpoint.concurrency.recordRejection(load(endpoint), capacity(endpoint), context.nowUs);
    }

    /** Records that the link had no capacity for a fill. */
    void recordLinkRejection() {
        recordRejection(link);
    }

    /**
     * Returns the transfers at an endpoint: this director's own and those of the other directors, estimated from
     * reports. Without reports, each other director is assumed to have this director's average, because the clients
     * of all directors are alike.
     */
    private double load(Endpoint endpoint) {
        double observedShare = 1
                - Math.exp(-Math.max(1, context.nowUs - context.startedUs) / InFlightCount.AVERAGING_TIME_US);
        double ownMean = endpoint.inFlight.meanAt(context.nowUs);
        double assumed = (endpoints.directorsSharing(endpoint) - 1) * ownMean / observedShare;
        return endpoint.inFlight.current() + endpoint.peerLoad.peerLoad(ownMean, assumed, context.nowUs);
    }

    /**
     * Returns whether an endpoint, whose pace is shared among its transfers, would answer within a share of the latency
     * target. The greater the share of its load that belongs to other directors, and is thus only estimated, the closer
     * the limit is to HANDOVER_SHARE.
     */
    boolean canAnswerWithin(double share, Endpoint endpoint, PendingRequest pending) {
        double ownShare = (endpoint.inFlight.current() + 1) / (load(endpoint) + 1);
        double safeShare = HANDOVER_SHARE + ownShare * (share - HANDOVER_SHARE);
        return pending.serviceUs * Math.max(1, utilization(endpoint)) <= safeShare * pending.targetLatencyUs;
    }

    /** Returns whether a fill over the link would complete within the latency target. */
    boolean canFillInTime(PendingRequest pending) {
        return canAnswerWithin(1, link, pending);
    }

    /** Returns the utilization of an endpoint with one more transfer; infinite just after it rejected a request. */
    double utilization(Endpoint endpoint) {
        return endpoint.concurrency.isBackingOff(context.nowUs) ? Double.POSITIVE_INFINITY
                : (load(endpoint) + 1) / capacity(endpoint);
    }

    /** Returns the transfers that an endpoint can serve at full pace: learned, else configured, else unlimited. */
    private double capacity(Endpoint endpoint) {
        boolean configured = endpoint == link ? link.weight > 0
                : context.settings.weighted() && endpoint.role == Role.CACHE;
        double limit = configured ? endpoint.weight : Double.POSITIVE_INFINITY;
        return endpoint == link && link.peerLoad.hasReport() ? limit
                : endpoint.concurrency.limit(context.nowUs, limit);
    }
}
