package clovermill.routing;

/**
 * One attempt of a request that is in flight.
 *
 * @param index the number of the attempt within its request, from 0
 * @param sentUs the time at which it was sent, in microseconds
 * @param targetUs the time by which it meets the latency target, in microseconds
 * @param loadAtSend the load along its route when it was sent
 */
record Attempt(int index, PendingRequest request, Route route, long sentUs, long targetUs, LoadSnapshot loadAtSend) {

    /** The share of the latency target after which a hit is overdue; a fill may take a little longer. */
    private static final double HIT_HEDGE_SHARE = 0.5;

    /** The transfers at the target, at the source of an expected fill (0 if none is expected) and on the link. */
    record LoadSnapshot(double target, double source, double link) {}

    /** Returns the time from which the response is overdue and the request may be hedged, in microseconds. */
    long hedgeDueUs() {
        double share = route.hitExpected() ? HIT_HEDGE_SHARE : CapacityEstimator.HANDOVER_SHARE;
        return sentUs + (long) (share * (targetUs - sentUs));
    }
}
