package clovermill.module;

import clovermill.CacheRouter.LoadReport;
import clovermill.memory.DeadlineQueue;
import clovermill.memory.InFlightCount;
import clovermill.module.Endpoint.Role;
import clovermill.spread.decide.ConcurrencyEstimator;
import java.util.List;

/** How many transfers members, and the link in, hold and can hold at full pace: told, reported or learned. */
final class CapacityEstimator {

    private final RoutingContext state;
    /** All fills share it; where nothing is told of it, its room is learned. */
    final Endpoint link = new Endpoint("link");
    /** Load until they end or their wanted time is over, lest what hangs looks like transfers; then late. */
    private final DeadlineQueue<Attempt> counted = new DeadlineQueue<>(Attempt::dueUs);

    CapacityEstimator(RoutingContext state) {
        this.state = state;
        double kbPerS = state.settings.linkKbPerS();
        link.weight = kbPerS > 0 ? kbPerS / state.settings.paceKbPerS() : Double.NaN;
    }

    /** What target, filler and link hold, for an attempt that goes out now. */
    double[] loads(Route choice) {
        return new double[] {load(choice.target()), choice.filler() == null ? 0 : load(choice.filler()), load(link)};
    }

    void sent(Attempt attempt) {
        hold(attempt, 1);
        counted.add(attempt);
    }

    void ended(Attempt attempt, LoadReport report) {
        if (counted.remove(attempt)) {
            hold(attempt, -1);
        }
        if (report != null) {
            attempt.choice().target().shared.reported(report.held(), state.now);
            link.shared.reported(report.linkUse() * link.weight, state.now);
        }
    }

    /** Lets time pass: what is late now shows how slow its member is at least. */
    void advance() {
        for (Attempt late = counted.due(state.now); late != null; late = counted.due(state.now)) {
            hold(late, -1);
            Endpoint slow = late.choice().filler() == null ? late.choice().target() : late.choice().source();
            if (!slow.room.learnedAfter(late.sentUs())) {
                paced(late, slow != late.choice().target(), late.pending().aimUs);
            }
        }
    }

    /** Counts an attempt at its target and, if it is expected to be a fill, at its source and the link. */
    private void hold(Attempt attempt, int more) {
        Route choice = attempt.choice();
        for (Endpoint node : choice.filler() == null ? List.of(choice.target())
                : List.of(choice.target(), choice.filler(), link)) {
            node.held.add(more, state.now);
            if (attempt.pending().tellsPace()) {
                node.room.tried(state.now);
            }
        }
    }

    /** Learns from an answer that came, or is late; what is known to be the hub's doing tells nothing of the link. */
    void paced(Attempt attempt, boolean filled, long elapsedUs) {
        double stretch = Math.max(1, (double) elapsedUs / attempt.pending().workUs);
        Endpoint source = attempt.choice().source();
        boolean known =
                filled && attempt.loads()[1] + 1 >= Math.max(ConcurrencyEstimator.STRETCHED, stretch) * room(source);
        int last = !attempt.pending().tellsPace() ? 0 : !filled ? 1 : known ? 2 : 3;
        for (int i = filled ? 1 : 0; i < last; i++) {
            Endpoint node = i == 0 ? attempt.choice().target() : i == 1 ? source : link;
            node.room.shown(((attempt.loads()[i] + load(node)) / 2 + 1) / stretch, stretch, room(node), state.now);
        }
    }

    void crowded(Endpoint node) {
        node.room.turnedAway(load(node), room(node), state.now);
    }

    /**
     * Transfers at a member: those of this director that are out, and its fellows', by reports; where there are none,
     * for each fellow what this one has out there on average, since all see the same clients.
     */
    private double load(Endpoint node) {
        double known = 1 - Math.exp(-Math.max(1, state.now - state.startedUs) / InFlightCount.SPAN_US);
        double held = node.held.mean(state.now);
        return node.held.now() + node.shared.fellows(held, (state.members.sharers(node) - 1) * held / known, state.now);
    }

    /**
     * Whether a member, its pace shared among all it holds, would answer in time; a full margin is left where its load
     * is fellows' and so only guessed.
     */
    boolean at(Endpoint node, PendingRequest pending, double share) {
        double most = RoutingContext.HAND_OVER
                + (node.held.now() + 1) / (load(node) + 1) * (share - RoutingContext.HAND_OVER);
        return pending.workUs * Math.max(1, strain(node)) <= most * pending.aimUs;
    }

    /** Transfers at a member, with one more, to each that it can hold at full pace. */
    double strain(Endpoint node) {
        return node.room.crowded(state.now) ? Double.POSITIVE_INFINITY : (load(node) + 1) / room(node);
    }

    /** The transfers that a member can hold at full pace: what was learned, or what is told of it. */
    private double room(Endpoint node) {
        double most = (node == link ? link.weight > 0 : state.settings.weighted() && node.role == Role.CACHE)
                ? node.weight : Double.POSITIVE_INFINITY;
        return node == link && link.shared.told() ? most : node.room.at(state.now, most);
    }
}
