package clovermill.routing.api;

/** The result of an attempt. */
public enum Result {
    OK, ERROR, REJECTED, TIMED_OUT, CONNECT_FAILED, CONNECTION_LOST, CANCELLED, NOT_SENT, MISS;

    /** Returns whether this result proves that the request was not executed. */
    public boolean neverRan() {
        return this == REJECTED || this == CONNECT_FAILED || this == NOT_SENT || this == MISS;
    }
}
