package clovermill.routing.api;

/** How an attempt ended. */
public enum Result {
    OK, ERROR, REFUSED, TIMED_OUT, UNCONNECTED, BROKEN, CANCELLED, NOT_SENT, MISS;

    /** True if this result proves that the request never ran. */
    public boolean neverRan() {
        return this == REFUSED || this == UNCONNECTED || this == NOT_SENT || this == MISS;
    }
}
