package clovermill.routing;

import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.CacheStatusDetail;
import clovermill.routing.api.Result;
import clovermill.routing.stats.DecayingAverage;

/**
 * Sheds load from the origin while it is slow, rejects work or is down: the greater the share of recent requests to it
 * (of all fills, where the answers tell no more) that failed or came late, the more fills are limited to what their
 * parent holds. Could harm where single parents fail.
 */
final class OriginLoadShedder {

    private final RoutingContext context;
    /** Share of recent requests to the origin that failed or came late, 0 to 1. */
    private final DecayingAverage failureShare = new DecayingAverage();

    OriginLoadShedder(RoutingContext context) {
        this.context = context;
    }

    /** Whether a fill is to take only what its parent holds; draws a random number. */
    boolean shouldShed() {
        return context.random.nextDouble() < failureShare.valueAt(context.nowUs);
    }

    /** Learns from an outcome, if it concerns the origin, which may be null. */
    void observe(Attempt attempt, AttemptEnded outcome, boolean filled, Endpoint origin) {
        if (tellsOfOrigin(attempt, outcome, filled, origin)) {
            long tookUs = outcome.elapsedUs();
            boolean late = tookUs > attempt.request().targetLatencyUs && 2 * outcome.waitedUs() > tookUs;
            failureShare.add(outcome.result() != Result.OK || late ? 1 : 0, context.nowUs);
        }
    }

    private boolean tellsOfOrigin(Attempt attempt, AttemptEnded outcome, boolean filled, Endpoint origin) {
        Route route = attempt.route();
        CacheStatus cacheStatus = outcome.cacheStatus();
        if (route.target() == origin || cacheStatus == CacheStatus.FILLED_FROM_ORIGIN
                || cacheStatus == CacheStatus.ORIGIN_FAILED
                || route.source() == origin && cacheStatus == CacheStatus.SOURCE_REJECTED) {
            return true;
        }
        if (!route.fillExpected() || route.onlyIfCached()) {
            return false;
        }
        boolean filledFromUntoldSource = filled && context.settings.cacheStatusDetail() != CacheStatusDetail.ALL;
        boolean parentAnsweredOthers = outcome.result() == Result.TIMED_OUT
                && route.source().breaker.succeededAfter(attempt.sentUs());
        return filledFromUntoldSource || parentAnsweredOthers;
    }
}
