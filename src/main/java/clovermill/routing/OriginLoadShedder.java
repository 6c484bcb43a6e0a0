package clovermill.routing;

import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.CacheStatusDetail;
import clovermill.routing.api.Result;
import clovermill.routing.stats.DecayingAverage;

/**
 * Sheds load from the origin while it is slow, rejects requests or is down: the greater the share of recent requests to
 * it that failed or were late (of all fills, if responses do not report the use of the origin), the more fills are
 * limited to cached copies of their parent. Drawback: the failure of a single parent may look like one of the origin.
 */
final class OriginLoadShedder {

    private final RoutingContext context;
    /** Share of recent requests to the origin that failed or were late, 0 to 1. */
    private final DecayingAverage failureShare = new DecayingAverage();

    OriginLoadShedder(RoutingContext context) {
        this.context = context;
    }

    /** Returns whether a fill should use only a cached copy of its parent; draws a random number. */
    boolean shouldShed() {
        return context.random.nextDouble() < failureShare.valueAt(context.nowUs);
    }

    /** Records an outcome if it concerns the origin, which may be null. */
    void observe(Attempt attempt, AttemptEnded outcome, boolean filled, Endpoint origin) {
        if (concernsOrigin(attempt, outcome, filled, origin)) {
            long elapsedUs = outcome.elapsedUs();
            boolean late = elapsedUs > attempt.request().targetLatencyUs && 2 * outcome.waitedUs() > elapsedUs;
            failureShare.add(outcome.result() != Result.OK || late ? 1 : 0, context.nowUs);
        }
    }

    private boolean concernsOrigin(Attempt attempt, AttemptEnded outcome, boolean filled, Endpoint origin) {
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
        boolean filledFromUnreportedSource = filled && context.settings.cacheStatusDetail() != CacheStatusDetail.ALL;
        boolean parentAnsweredOthers = outcome.result() == Result.TIMED_OUT
                && route.source().breaker.succeededAfter(attempt.sentUs());
        return filledFromUnreportedSource || parentAnsweredOthers;
    }
}
