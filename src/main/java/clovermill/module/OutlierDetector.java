package clovermill.module;

import clovermill.CacheRouter.Log;
import clovermill.memory.CircuitBreaker;
import clovermill.spread.decide.ConcurrencyEstimator;
import java.util.List;

/** Which members can take a request: failures take one out of its ring, and trials with real requests bring it back. */
record OutlierDetector(RoutingContext state) {

    /** Whether a member can take this request now: fit, not tried in vain, within its budget if cold. */
    boolean usable(Endpoint node, PendingRequest pending) {
        return fit(node) && !pending.failed.contains(node) && pending.request.allowed().test(node.id)
                && state.cold.bears(node);
    }

    /**
     * A sick member is out of the ring until a trial is due. Where more than half of its fellows are sick the cause is
     * shared (a link, a hub, plain overload): all stay in but those that could not be reached.
     */
    boolean fit(Endpoint node) {
        List<Endpoint> fellows = state.members.ring(node).members;
        boolean mostSick = 2 * fellows.stream().filter(fellow -> fellow.breaker.open()).count() > fellows.size();
        return node.listed && (node.breaker.lets(state.now) || !node.breaker.dead() && mostSick);
    }

    /** An attempt that ran out of time speaks against a member only if that has answered nothing since. */
    void silent(Endpoint node, Attempt attempt) {
        if (node != null && !node.breaker.answeredAfter(attempt.sentUs())) {
            failed(node, CircuitBreaker.NEWS, false);
        }
    }

    /**
     * A broken connection ends all that was out on it: one failure and no proof of a restart, after which the next is
     * refused. Could harm where members break at every request and still accept.
     */
    void broke(Endpoint node) {
        if (node.breaker.broke(state.now, ConcurrencyEstimator.CROWDED_US)) {
            failed(node, CircuitBreaker.NEWS, false);
        }
    }

    void failed(Endpoint node, double weight, boolean gone) {
        if (node.breaker.failed(weight, gone, state.now)) {
            state.out.accept(new Log("left the ring: " + node.role + " " + node.id));
        }
    }

    /**
     * A member that answers after it was lost may have restarted, empty and cold, before the list tells it: it is taken
     * to have started now. Could harm after a broken network path: some seconds of less work.
     */
    void succeeded(Endpoint node) {
        if (node.breaker.succeeded(state.now)) {
            state.cold.started(node, state.now);
        }
    }
}
