package clovermill.routing;

import clovermill.routing.api.Effect;
import clovermill.routing.api.KeyScope;
import clovermill.routing.api.Request;
import clovermill.routing.api.RequestClass;
import clovermill.routing.api.Settings;
import clovermill.routing.stats.ClassServiceTimes;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A request without its final answer, or with attempts in flight, and which retries its effects still allow. */
final class PendingRequest {

    /** The least time, in microseconds, for which an attempt makes sense: a round trip to a far hub. */
    static final long MIN_ATTEMPT_US = 20_000;
    /** No answer comes in less than this share of its service time. */
    private static final double FASTEST_SHARE = 0.8;

    final Request request;
    final RequestClass requestClass;
    /** When the client gives up, in microseconds. */
    final long deadlineUs;
    /** The time that the answer takes at full pace, in microseconds: by size, else the mean of its class. */
    final long serviceUs;
    /** Within this time the answer should come to be worth most, in microseconds. */
    final long targetLatencyUs;
    /** Endpoints that have failed this request and are not tried again, until a pause. */
    final List<Endpoint> excluded = new ArrayList<>();
    /** Endpoints that answered with an error: theirs, or the request's own. */
    final List<Endpoint> errored = new ArrayList<>(2);
    /** Attempts in flight by their index. */
    final Map<Integer, Attempt> inFlight = new HashMap<>(2);
    private final int maxAttempts;
    int attemptsSent;
    /** Nothing more is owed to the client. */
    boolean finished;
    /** When an attempt was sent that may have run, in microseconds; NEVER if none was. */
    private long possibleRunUs = RoutingContext.NEVER;
    private Endpoint possibleRunAt;

    PendingRequest(Request request, Settings settings, ClassServiceTimes serviceTimes, long nowUs) {
        this.request = request;
        this.requestClass = settings.classes().get(request.requestClass());
        this.maxAttempts = settings.capabilities().maxAttempts();
        this.deadlineUs = nowUs + request.timeoutUs();
        double paceKbPerS = settings.paceKbPerS();
        this.serviceUs = (long) (paceKbPerS > 0 && request.sizeKb() > 0 ? request.sizeKb() / paceKbPerS * 1e6
                : serviceTimes.meanUs(request.requestClass()));
        this.targetLatencyUs = Math.min(requestClass.deadlineUs(),
                requestClass.targetUs() + (long) (requestClass.targetServiceFactor() * serviceUs));
    }

    /** Whether no time or attempt is left; of the limits on attempts at arrival and now the lesser holds. */
    boolean isExhausted(long nowUs, Settings settings) {
        return deadlineUs - nowUs < Math.max(MIN_ATTEMPT_US, FASTEST_SHARE * serviceUs)
                || attemptsSent >= Math.min(maxAttempts, settings.capabilities().maxAttempts());
    }

    /** Whether the answer is so large that its time is a measure of the endpoints' throughput. */
    boolean isPaceBound() {
        return 2 * serviceUs >= requestClass.targetUs();
    }

    /** Whether an attempt may have run. */
    boolean mayHaveRun() {
        return possibleRunUs != RoutingContext.NEVER;
    }

    /** An attempt may have run, or is in flight, which binds retries as if it had. */
    void recordPossibleRun(Attempt attempt) {
        possibleRunUs = attempt.sentUs();
        possibleRunAt = attempt.route().target();
    }

    /** Whether a further attempt is safe: none may have run before, or the target recognises the repeat. */
    boolean mayRetryAt(Endpoint target, long nowUs, Settings settings) {
        if (!mayHaveRun() || requestClass.effect() == Effect.IDEMPOTENT) {
            return true;
        }
        // A repeat may still wait for its connection: the window must not close meanwhile.
        long windowUsedUs = nowUs - possibleRunUs + settings.dialTimeoutUs();
        return requestClass.effect() != Effect.AT_MOST_ONCE && windowUsedUs < requestClass.windowUs()
                && switch (requestClass.keyScope()) {
                    case ALL -> true;
                    case ZONE -> possibleRunAt.zone == target.zone;
                    case CELL -> possibleRunAt.cell == target.cell;
                };
    }

    /** Whether a refusal is allowed, which says to the client that a further try is harmless. */
    boolean mayReject() {
        return requestClass.effect() == Effect.IDEMPOTENT || inFlight.isEmpty() && !mayHaveRun()
                || requestClass.effect() == Effect.DEDUPLICATED && requestClass.keyScope() == KeyScope.ALL;
    }
}
