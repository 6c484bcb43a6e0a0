package clovermill.dataplane.proxy;

/** An attempt that was handed to an {@link Upstream} and has not ended. */
public interface Exchange {

    /**
     * Cancels the exchange; its listener is not called any more. Returns true if the member may have processed the
     * request, false if nothing of it was sent.
     */
    boolean cancel();

    /** Whether any byte of it may have left this process. */
    default boolean begun() {
        return true;
    }

    /** Whether it waits only for this process (the end of the turn, a port), so that a delay is not the member's. */
    default boolean isQueuedLocally() {
        return false;
    }
}
