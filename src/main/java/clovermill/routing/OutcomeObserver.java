package clovermill.routing;

import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.CacheStatusDetail;
import clovermill.routing.api.Result;
import clovermill.routing.stats.ClassServiceTimes;

/** Records the outcome of each attempt in the cache contents index, the capacity estimates and the outlier detector. */
final class OutcomeObserver {

    private final RoutingContext context;
    private final EndpointSet endpoints;
    private final CacheContentsIndex contents;
    private final CapacityEstimator capacity;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final OriginLoadShedder originShedder;
    private final ClassServiceTimes serviceTimes;

    OutcomeObserver(RoutingContext context, EndpointSet endpoints, CacheContentsIndex contents,
            CapacityEstimator capacity, OutlierDetector outliers, SlowStart slowStart,
            OriginLoadShedder originShedder, ClassServiceTimes serviceTimes) {
        this.context = context;
        this.endpoints = endpoints;
        this.contents = contents;
        this.capacity = capacity;
        this.outliers = outliers;
        this.slowStart = slowStart;
        this.originShedder = originShedder;
        this.serviceTimes = serviceTimes;
    }

    /** Records the outcome of an attempt. */
    void observe(Attempt attempt, AttemptEnded outcome) {
        PendingRequest pending = attempt.request();
        Route route = attempt.route();
        Result result = outcome.result();
        boolean filled = wasFilled(route, outcome);
        if (route.copyRank() > 0 && result != Result.CANCELLED && result != Result.NOT_SENT) {
            contents.recordCopy(pending.request, route.target(), result == Result.OK);
        }
        originShedder.observe(attempt, outcome, filled, endpoints.origin());
        switch (result) {
            case OK -> observeSuccess(attempt, outcome, filled);
            case CANCELLED, NOT_SENT -> {}
            default -> observeFailure(attempt, outcome);
        }
    }

    /** Returns whether the response was filled: by the cache status or, if none is reported, by expectation. */
    private boolean wasFilled(Route route, AttemptEnded outcome) {
        return outcome.result() == Result.OK && switch (outcome.cacheStatus()) {
            case FILLED, FILLED_FROM_ORIGIN, COLLAPSED -> true;
            default -> context.settings.cacheStatusDetail() == CacheStatusDetail.NONE && !route.hitExpected();
        };
    }

    private void observeSuccess(Attempt attempt, AttemptEnded outcome, boolean filled) {
        PendingRequest pending = attempt.request();
        Route route = attempt.route();
        long workedUs = outcome.elapsedUs() - outcome.waitedUs();
        slowStart.recordServed(route.target(), pending);
        if (!filled && pending.request.sizeKb() <= 0) {
            serviceTimes.recordHit(pending.request.requestClass(), workedUs);
        }
        if (!filled || route.fillExpected()) {
            capacity.recordPace(attempt, filled, workedUs);
        }
        if (filled && route.fillExpected()) {
            slowStart.recordServed(route.source(), pending);
            outliers.recordSuccess(route.source());
        }
        outliers.recordSuccess(route.target());
        pending.errored.forEach(outliers::recordFailure);
    }

    /** Attributes a failure by the cache status; without one, to the source of a fill, the target or the link. */
    private void observeFailure(Attempt attempt, AttemptEnded outcome) {
        Route route = attempt.route();
        Endpoint target = route.target();
        Endpoint source = route.source() == null ? target : route.source();
        boolean ofSource = isFailureOfSource(attempt, outcome);
        switch (outcome.cacheStatus()) {
            case SOURCE_REJECTED -> capacity.recordRejection(source);
            case SOURCE_UNREACHABLE -> outliers.recordTimeout(source, attempt);
            case SOURCE_MISS -> contents.recordCopy(attempt.request().request, source, false);
            case ORIGIN_FAILED -> outliers.recordTimeout(endpoints.origin(), attempt);
            case FILL_LIMIT_REACHED -> capacity.recordLinkRejection();
            default -> attributeWithoutCacheStatus(attempt, outcome.result(), ofSource ? source : target, ofSource);
        }
        if (outcome.result() == Result.TIMED_OUT && route.fillExpected()) {
            outliers.recordTimeout(source, attempt);
        }
        if (outcome.cacheStatus() != CacheStatus.ORIGIN_FAILED) {
            attempt.request().excluded.add(ofSource ? source : target);
        }
    }

    private boolean isFailureOfSource(Attempt attempt, AttemptEnded outcome) {
        boolean fillExpected = attempt.route().fillExpected();
        return switch (outcome.cacheStatus()) {
            case SOURCE_REJECTED, SOURCE_UNREACHABLE, SOURCE_MISS -> true;
            default -> outcome.result() == Result.ERROR
                    ? context.settings.cacheStatusDetail() != CacheStatusDetail.ALL && fillExpected
                            && attempt.request().errored.isEmpty()
                    : isFillWithoutCacheStatus(attempt) && outcome.result() == Result.TIMED_OUT;
        };
    }

    private boolean isFillWithoutCacheStatus(Attempt attempt) {
        return context.settings.cacheStatusDetail() == CacheStatusDetail.NONE && attempt.route().fillExpected();
    }

    /** Attributes a failure by its result; a rejected fill without a cache status is attributed to the full link. */
    private void attributeWithoutCacheStatus(Attempt attempt, Result result, Endpoint suspect, boolean ofSource) {
        if (result == Result.REJECTED && !ofSource && isFillWithoutCacheStatus(attempt)) {
            capacity.recordLinkRejection();
            return;
        }
        switch (result) {
            case REJECTED -> capacity.recordRejection(suspect);
            case CONNECT_FAILED -> outliers.recordConnectFailure(suspect);
            case CONNECTION_LOST -> outliers.recordConnectionLoss(suspect);
            case TIMED_OUT -> outliers.recordTimeout(suspect, attempt);
            // The request itself may be at fault: counted as a failure once another endpoint has served it.
            case ERROR -> attempt.request().errored.add(suspect);
            default -> {}
        }
    }
}
