package clovermill.module;

import clovermill.memory.DeadlineQueue;

/**
 * Which requests are sent to another member too because their answer is overdue; the first answer counts. Guards
 * against answers that never arrive, which nothing else tells of. Where more than a small part is overdue it is a jam,
 * and none is sent twice. Could harm where a fleet is slow but complete.
 */
final class HedgingPolicy {

    /** Part of all requests whose answer may be overdue for them to be sent twice, and how many at once. */
    private static final double HEDGED = 0.1;
    private static final double MOST_HEDGED = 10;

    /** First attempts of requests that may be sent twice, by when their answer is overdue. */
    final DeadlineQueue<Attempt> first = new DeadlineQueue<>(Attempt::hedgeUs);
    private double credit;

    void asked() {
        credit = Math.min(MOST_HEDGED, credit + HEDGED);
    }

    /** Whether one that is overdue, and still out, may be sent twice. */
    boolean allows(Attempt attempt) {
        boolean out = !attempt.pending().over && attempt.pending().out.containsValue(attempt);
        credit = out ? Math.max(-MOST_HEDGED, credit - 1) : credit;
        return out && credit >= 0;
    }
}
