package clovermill.routing;

import clovermill.routing.Attempt.LoadSnapshot;
import clovermill.routing.Endpoint.Role;
import clovermill.routing.api.LoadReport;
import clovermill.routing.load.ConcurrencyEstimator;
import clovermill.routing.stats.DeadlineQueue;
import clovermill.routing.stats.InFlightCount;
import java.util.List;

/**
 * The load and the capacity of endpoints and of the link in, both in transfers: configured, reported or learned. From
 * both follows whether an endpoint would answer a request in time.
 */
final class CapacityEstimator {

    /** A loaded cache hands a request over when its answer would take this share of the latency target. */
    static final double HANDOVER_SHARE = 0.6;

    private final RoutingContext context;
    private final EndpointSet endpoints;
    /** The link into the location, which all fills share; where its rate is not configured its capacity is learned. */
    private final Endpoint link = new Endpoint("link");
    /**
     * Attempts that count as load: until they end or their latency target has passed, because an attempt that hangs is
     * no transfer. Bounded by the open requests.
     */
    private final DeadlineQueue<Attempt> counted = new DeadlineQueue<>(Attempt::targetUs);

    CapacityEstimator(RoutingContext context, EndpointSet endpoints) {
        this.context = context;
        this.endpoints = endpoints;
        double linkKbPerS = context.settings.linkKbPerS();
        link.weight = linkKbPerS > 0 ? linkKbPerS / context.settings.paceKbPerS() : Double.NaN;
    }

    /** The load that an attempt meets if it is sent now. */
    LoadSnapshot loadOn(Route route) {
        return new LoadSnapshot(load(route.target()), route.fillExpected() ? load(route.source()) : 0, load(link));
    }

    /** Counts an attempt that was sent. */
    void recordSent(Attempt attempt) {
        addToLoad(attempt, 1);
        counted.add(attempt);
    }

    /** An attempt has ended; {@code report}, the endpoint's own load report, may be null. */
    void recordEnd(Attempt attempt, LoadReport report) {
        if (counted.remove(attempt)) {
            addToLoad(attempt, -1);
        }
        if (report != null) {
            attempt.route().target().peerLoad.recordReport(report.concurrency(), context.nowUs);
            link.peerLoad.recordReport(report.linkUtilization() * link.weight, context.nowUs);
        }
    }

    /** Lets time pass: an attempt whose latency target has passed shows how slow its endpoint is at least. */
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

    /** Counts an attempt at its target and, where a fill is expected, at its source and the link. */
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
     * Learns from the time of an answer that came, or is late: of the target where it was a hit, otherwise of the
     * source and the link. What the source's known load explains is no evidence about the link.
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

    /** An endpoint has rejected a request. */
    void recordRejection(Endpoint endpoint) {
        endpoint.concurrency.recordRejection(load(endpoint), capacity(endpoint), context.nowUs);
    }

    /** The link had no place for a fill. */
    void recordLinkRejection() {
        recordRejection(link);
    }

    /**
     * Transfers at an endpoint: this director's own and, by reports, those of the other directors. Without reports each
     * other director is taken to have what this one has on average, because all see the same clients.
     */
    private double load(Endpoint endpoint) {
        double observedShare = 1
                - Math.exp(-Math.max(1, context.nowUs - context.startedUs) / InFlightCount.AVERAGING_TIME_US);
        double ownMean = endpoint.inFlight.meanAt(context.nowUs);
        double guess = (endpoints.directorsSharing(endpoint) - 1) * ownMean / observedShare;
        return endpoint.inFlight.current() + endpoint.peerLoad.peerLoad(ownMean, guess, context.nowUs);
    }

    /**
     * Whether an endpoint, its pace shared among all that it holds, would answer within a share of the latency target;
     * the more of its load is other directors' and so only guessed, the more of HANDOVER_SHARE is reserved.
     */
    boolean canAnswerWithin(double share, Endpoint endpoint, PendingRequest pending) {
        double ownShare = (endpoint.inFlight.current() + 1) / (load(endpoint) + 1);
        double safeShare = HANDOVER_SHARE + ownShare * (share - HANDOVER_SHARE);
        return pending.serviceUs * Math.max(1, utilization(endpoint)) <= safeShare * pending.targetLatencyUs;
    }

    /** Whether a fill over the link would come within the latency target. */
    boolean canFillInTime(PendingRequest pending) {
        return canAnswerWithin(1, link, pending);
    }

    /** Transfers at an endpoint with one more, over its capacity; infinite just after it has rejected a request. */
    double utilization(Endpoint endpoint) {
        return endpoint.concurrency.isBackingOff(context.nowUs) ? Double.POSITIVE_INFINITY
                : (load(endpoint) + 1) / capacity(endpoint);
    }

    /** The transfers that an endpoint can hold at full pace: learned, else configured, else unlimited. */
    private double capacity(Endpoint endpoint) {
        boolean configured = endpoint == link ? link.weight > 0
                : context.settings.weighted() && endpoint.role == Role.CACHE;
        double limit = configured ? endpoint.weight : Double.POSITIVE_INFINITY;
        return endpoint == link && link.peerLoad.hasReport() ? limit
                : endpoint.concurrency.limit(context.nowUs, limit);
    }
}
