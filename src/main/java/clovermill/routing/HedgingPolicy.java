package clovermill.routing;

import clovermill.routing.stats.DeadlineQueue;

/**
 * Hedged requests (Dean, Barroso, "The Tail at Scale", 2013): a request whose answer is overdue is sent to a second
 * endpoint too, and the first answer counts. Guards against answers that never arrive, which nothing else reports.
 * Within a budget: where more than a small share of requests is overdue the cause is congestion, and none is hedged.
 * Could harm where all endpoints are slow but complete.
 */
final class HedgingPolicy {

    /** Hedges earned by each request. */
    private static final double BUDGET_PER_REQUEST = 0.1;
    /** Hedges that may be saved up, and owed. */
    private static final double MAX_BUDGET = 10;

    /** First attempts that may be hedged, by when they are overdue; bounded by the open requests. */
    private final DeadlineQueue<Attempt> candidates = new DeadlineQueue<>(Attempt::hedgeDueUs);
    private double budget;

    /** Each request earns a part of a hedge. */
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

    /** Whether an overdue attempt may be hedged: still in flight, and within the budget, which it is charged to. */
    boolean takeBudget(Attempt overdue) {
        PendingRequest pending = overdue.request();
        boolean inFlight = !pending.finished && pending.inFlight.containsValue(overdue);
        budget = inFlight ? Math.max(-MAX_BUDGET, budget - 1) : budget;
        return inFlight && budget >= 0;
    }
}
