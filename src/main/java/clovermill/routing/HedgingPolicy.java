package clovermill.routing;

import clovermill.routing.stats.DeadlineQueue;

/**
 * Hedged requests (Dean, Barroso, "The Tail at Scale", 2013): a request whose response is overdue is also sent to a
 * second endpoint, and the first response counts. This covers responses that never arrive, which nothing else reports.
 * A budget limits hedging: if more than a small share of requests is overdue, the cause is congestion and none is
 * hedged. Drawback: extra load if all endpoints are slow but complete their requests.
 */
final class HedgingPolicy {

    /** The part of a hedge by which each request increases the budget. */
    private static final double BUDGET_PER_REQUEST = 0.1;
    /** Upper bound of the budget, and of its overdraft, in hedges. */
    private static final double MAX_BUDGET = 10;

    /** First attempts that may be hedged, by the time at which they are overdue; bounded by the open requests. */
    private final DeadlineQueue<Attempt> candidates = new DeadlineQueue<>(Attempt::hedgeDueUs);
    private double budget;

    /** Adds a request's part of a hedge to the budget. */
    void recordRequest() {
        budget = Math.min(MAX_BUDGET, budget + BUDGET_PER_REQUEST);
    }

    /** Registers the first attempt of a request that may be hedged. */
    void addCandidate(Attempt first) {
        candidates.add(first);
    }

    /** Removes and returns the next attempt that is overdue, or returns null. */
    Attempt pollOverdue(long nowUs) {
        return candidates.pollDue(nowUs);
    }

    /** Charges a hedge of an overdue attempt to the budget if it is still in flight; returns whether it is allowed. */
    boolean takeBudget(Attempt overdue) {
        PendingRequest pending = overdue.request();
        boolean inFlight = !pending.finished && pending.inFlight.containsValue(overdue);
        budget = inFlight ? Math.max(-MAX_BUDGET, budget - 1) : budget;
        return inFlight && budget >= 0;
    }
}
