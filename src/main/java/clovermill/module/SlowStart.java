package clovermill.module;

import clovermill.CacheRouter.ColdRule;
import clovermill.module.Endpoint.Role;

/**
 * Guards members that have just started, which give little at first and fall over under the sum of all directors. Their
 * capacity is told nowhere: what warm ones of like weight have served this director is a safe estimate of its share.
 */
record SlowStart(RoutingContext state) {

    /** Share of a cold member's budget that is used: weights are rough and directors uneven. */
    private static final double COLD_MARGIN = 0.7;

    private ColdRule rule(Endpoint node) {
        return node.role == Role.PARENT ? state.settings.parentCold() : state.settings.cold();
    }

    boolean cold(Endpoint node) {
        return node.role != Role.ORIGIN && node.startedUs > 0 && state.now - node.startedUs < rule(node).warmUs();
    }

    /** Whether a member is warm, or within its budget: a request may overdraw that. */
    boolean bears(Endpoint node) {
        return !cold(node) || credit(node) >= 0;
    }

    /** The work that this director may still send to a cold member; it grows with the part that one can give. */
    private double credit(Endpoint node) {
        ColdRule rule = rule(node);
        double age = Math.max(0, (state.now + node.credit.sinceUs()) / 2.0 - node.startedUs);
        double part = rule.from() + (1 - rule.from()) * Math.min(1, age / rule.warmUs());
        double rate = COLD_MARGIN * rule.multiple() * part * state.members.ring(node).served.rate() * node.weight;
        return node.credit.grow(rate, state.work.most(), 1.0 / state.members.sharers(node), state.now);
    }

    /** A start: what was known is void. The first debt is random: many directors with a request each keep the sum. */
    void started(Endpoint node, long startedUs) {
        node.startedUs = startedUs;
        node.breaker.forget();
        node.room.forget();
        node.shared.forget();
        node.credit.begin(state.random.nextDouble(), state.now);
    }

    /** Charges an attempt to a member's credit, and as the one trial for a while to a sick one. */
    void charge(Endpoint node, PendingRequest pending) {
        node.breaker.sent(state.now);
        node.credit.spend(work(pending));
    }

    /** Books what a warm member has served; work that it was only sent, or turned away, would flatter it. */
    void served(Endpoint node, PendingRequest pending) {
        if (node.role != Role.ORIGIN && !cold(node)) {
            state.members.ring(node).served.add(work(pending));
        }
    }

    private double work(PendingRequest pending) {
        return Math.max(1, state.work.of(pending.request.requestClass()));
    }
}
