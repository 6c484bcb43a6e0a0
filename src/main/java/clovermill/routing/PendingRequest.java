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

/** A request that has no final response yet or has attempts in flight, and the retries that its effect permits. */
final class PendingRequest {

    /** The minimum time for an attempt, in microseconds: a round trip to a distant hub. */
    static final long MIN_ATTEMPT_US = 20_000;
    /** The minimum share of its service time that any response takes. */
    private static final double FASTEST_SHARE = 0.8;

    final Request request;
    final RequestClass requestClass;
    /** The time at which the client gives up, in microseconds. */
    final long deadlineUs;
    /** The time that the response takes at full pace, in microseconds: by its size, else the mean of its class. */
    final long serviceUs;
    /** The time within which the response has its full value, in microseconds. */
    final long targetLatencyUs;
    /** Endpoints that failed this request and are not tried again before a pause. */
    final List<Endpoint> excluded = new ArrayList<>();
    /** Endpoints that returned an error, caused by them or by the request itself. */
    final List<Endpoint> errored = new ArrayList<>(2);
    /** Attempts in flight by their index. */
    final Map<Integer, Attempt> inFlight = new HashMap<>(2);
    private final int maxAttempts;
    int attemptsSent;
    /** True once the client expects no response any more. */
    boolean finished;
    /** The time at which an attempt was sent that may have been executed, in microseconds; NEVER if none was. */
    private long possibleExecutionUs = RoutingContext.NEVER;
    private Endpoint possibleExecutionAt;

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

    /** Returns whether no time or attempt is left, by the lower of the attempt limits at arrival and now. */
    boolean isExhausted(long nowUs, Settings settings) {
        return deadlineUs - nowUs < Math.max(MIN_ATTEMPT_US, FASTEST_SHARE * serviceUs)
                || attemptsSent >= Math.min(maxAttempts, settings.capabilities().maxAttempts());
    }

    /** Returns whether the response is so large that its duration measures the throughput of the endpoints. */
    boolean isPaceBound() {
        return 2 * serviceUs >= requestClass.targetUs();
    }

    /** Returns whether an attempt may have been executed. */
    boolean mayHaveExecuted() {
        return possibleExecutionUs != RoutingContext.NEVER;
    }

    /** Records an attempt that may have been executed or is in flight; it restricts retries as if it was executed. */
    void recordPossibleExecution(Attempt attempt) {
        possibleExecutionUs = attempt.sentUs();
        possibleExecutionAt = attempt.route().target();
    }

    /** Returns whether another attempt is safe: no earlier one was executed, or the target detects duplicates. */
    boolean mayRetryAt(Endpoint target, long nowUs, Settings settings) {
        if (!mayHaveExecuted() || requestClass.effect() == Effect.IDEMPOTENT) {
            return true;
        }
        // The retry may still wait for its connection, and the window must not close meanwhile.
        long windowUsedUs = nowUs - possibleExecutionUs + settings.dialTimeoutUs();
        return requestClass.effect() != Effect.AT_MOST_ONCE && windowUsedUs < requestClass.windowUs()
                && switch (requestClass.keyScope()) {
                    case ALL -> true;
                    case ZONE -> possibleExecutionAt.zone == target.zone;
                    case CELL -> possibleExecutionAt.cell == target.cell;
                };
    }

    /** Returns whether the request may be rejected, which permits the client to retry it. */
    boolean mayReject() {
        return requestClass.effect() == Effect.IDEMPOTENT || inFlight.isEmpty() && !mayHaveExecuted()
                || requestClass.effect() == Effect.DEDUPLICATED && requestClass.keyScope() == KeyScope.ALL;
    }
}
