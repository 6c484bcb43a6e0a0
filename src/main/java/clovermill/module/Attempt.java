package clovermill.module;

/** An attempt that is out, when it is late, and what target, filler and link held when it was sent. */
record Attempt(int index, PendingRequest pending, Route choice, long sentUs, long dueUs, double[] loads) {

    /** A hit that takes half of the wanted time is overdue; a fill may take a little longer. */
    long hedgeUs() {
        return sentUs + (long) ((choice.believed() ? 0.5 : RoutingContext.HAND_OVER) * (dueUs - sentUs));
    }
}
