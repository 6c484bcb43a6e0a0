package clovermill.routing;

/**
 * One attempt of a request that is in flight.
 *
 * @param index the number of the attempt within its request, from 0
 * @param sentUs when it was sent, in microseconds
 * @param targetUs when it should have been answered: the latency target, in microseconds
 * @param loadAtSend the load that it met when it was sent
 */
record Attempt(int index, PendingRequest request, Route route, long sentUs, long targetUs, LoadSnapshot loadAtSend) {

    /** A hit that has taken this share of the latency target is overdue; a fill may take a little longer. */
    private static final double HIT_HEDGE_SHARE = 0.5;

    /** Transfers at the target, at the source that is expected to fill (0 without one) and on the link. */
    record LoadSnapshot(double target, double source, double link) {}

    /** When the answer is overdue so that the request may be hedged, in microseconds. */
    long hedgeDueUs() {
        double share = route.hitExpected() ? HIT_HEDGE_SHARE : CapacityEstimator.HANDOVER_SHARE;
        return sentUs + (long) (share * (targetUs - sentUs));
    }
}
