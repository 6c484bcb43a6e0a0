package clovermill.routing;

import clovermill.routing.api.Effect;
import clovermill.routing.api.HostCapabilities;
import clovermill.routing.api.Request;
import clovermill.routing.api.Send;
import clovermill.routing.api.SendVia;
import clovermill.routing.stats.PurgeLog;

/** Sends attempts: charges them to the endpoints that they load, and instructs the target how to fill a miss. */
final class AttemptSender {

    private final RoutingContext context;
    private final CacheContentsIndex contents;
    private final CapacityEstimator capacity;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final HedgingPolicy hedging;

    AttemptSender(RoutingContext context, CacheContentsIndex contents, CapacityEstimator capacity,
            OutlierDetector outliers, SlowStart slowStart, HedgingPolicy hedging) {
        this.context = context;
        this.contents = contents;
        this.capacity = capacity;
        this.outliers = outliers;
        this.slowStart = slowStart;
        this.hedging = hedging;
    }

    /** Sends an attempt of a request along a route that has a target. */
    void send(PendingRequest pending, Route route) {
        int index = pending.attemptsSent++;
        charge(pending, route.target());
        if (route.source() != null && route.source() != route.target()) {
            charge(pending, route.source());
        }
        Attempt attempt = new Attempt(index, pending, route, context.nowUs, context.nowUs + pending.targetLatencyUs,
                capacity.loadOn(route));
        capacity.recordSent(attempt);
        pending.inFlight.put(index, attempt);
        if (index == 0 && pending.requestClass.effect() != Effect.AT_MOST_ONCE
                && context.settings.capabilities().hedging()) {
            hedging.addCandidate(attempt);
        }
        emitSend(pending, route);
    }

    private void charge(PendingRequest pending, Endpoint endpoint) {
        outliers.recordAttempt(endpoint);
        slowStart.chargeAttempt(endpoint, pending);
    }

    private void emitSend(PendingRequest pending, Route route) {
        Request request = pending.request;
        long remainingUs = pending.deadlineUs - context.nowUs;
        if (route.source() == null) {
            context.emit(new Send(request.id(), route.target().id, remainingUs));
            return;
        }
        HostCapabilities capabilities = context.settings.capabilities();
        boolean joinFill = capabilities.fillJoining() && contents.activePurgeUs(request) == PurgeLog.NEVER;
        boolean staleWhileRevalidate = pending.requestClass.freshUs() > 0;
        context.emit(new SendVia(request.id(), route.target().id, remainingUs, route.source().id, route.copyRank(),
                contents.maxAgeUs(pending), joinFill, route.onlyIfCached(), false, staleWhileRevalidate));
    }
}
