package clovermill.module;

import clovermill.CacheRouter;
import clovermill.CacheRouter.Effect;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A request without a final answer or with attempts out, and what its effects still allow. */
final class PendingRequest {

    /** Least time for which an attempt is worth its while: a round trip to a far hub. */
    static final long LEAST_ATTEMPT_US = 20_000;
    /** No answer comes in less than this part of the time that its size asks for at full pace. */
    private static final double FASTEST = 0.8;

    final CacheRouter.Request request;
    final CacheRouter.RequestClass kind;
    final long deadlineUs;
    final long workUs;
    final long aimUs;
    final List<Endpoint> failed = new ArrayList<>();
    final List<Endpoint> erred = new ArrayList<>(2);
    final Map<Integer, Attempt> out = new HashMap<>(2);
    private final int attempts;
    int sent;
    long mayHaveRunUs = RoutingContext.NEVER;
    Endpoint mayHaveRunAt;
    boolean over;

    PendingRequest(CacheRouter.Request request, RoutingContext state) {
        this.request = request;
        this.kind = state.settings.classes().get(request.requestClass());
        this.attempts = state.settings.allowed().maxAttempts();
        this.deadlineUs = state.now + request.graceUs();
        double pace = state.settings.paceKbPerS();
        this.workUs = (long) (pace > 0 && request.sizeKb() > 0 ? request.sizeKb() / pace * 1e6
                : state.work.of(request.requestClass()));
        this.aimUs = Math.min(kind.deadlineUs(), kind.aimUs() + (long) (kind.aimStretch() * workUs));
    }

    /** Whether no time or attempt is left; of the first and the present number the lesser counts. */
    boolean spent(RoutingContext state) {
        return deadlineUs - state.now < Math.max(LEAST_ATTEMPT_US, FASTEST * workUs)
                || sent >= Math.min(attempts, state.settings.allowed().maxAttempts());
    }

    /** Only the time of a large answer is made by pace. */
    boolean tellsPace() {
        return 2 * workUs >= kind.aimUs();
    }

    /** An attempt may have run, or is in flight, which binds a repeat as if it had. */
    void mayHaveRun(Attempt attempt) {
        mayHaveRunUs = attempt.sentUs();
        mayHaveRunAt = attempt.choice().target();
    }

    /** Effects: a further attempt only where none ran before or the repeat is recognised. */
    boolean mayRepeatAt(Endpoint target, RoutingContext state) {
        if (mayHaveRunUs == RoutingContext.NEVER || kind.effect() == Effect.IDEMPOTENT) {
            return true;
        }
        // A repeat may still wait for its connection: the window must not close meanwhile.
        long spentUs = state.now - mayHaveRunUs + state.settings.dialTimeoutUs();
        return kind.effect() != Effect.AT_MOST_ONCE && spentUs < kind.windowUs() && switch (kind.keyScope()) {
            case ALL -> true;
            case ZONE -> mayHaveRunAt.zone == target.zone;
            case CELL -> mayHaveRunAt.cell == target.cell;
        };
    }

    boolean mayRefuse() {
        return kind.effect() == Effect.IDEMPOTENT || out.isEmpty() && mayHaveRunUs == RoutingContext.NEVER
                || kind.effect() == Effect.DEDUPLICATED && kind.keyScope() == CacheRouter.KeyScope.ALL;
    }
}
