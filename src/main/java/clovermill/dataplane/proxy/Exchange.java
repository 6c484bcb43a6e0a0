package clovermill.dataplane.proxy;

/** An attempt that was passed to an {@link Upstream} and has not ended. */
public interface Exchange {

    /**
     * Cancels the exchange; its listener is no longer called.
     *
     * @return true if the member may have processed the request, false if nothing of it was sent
     */
    boolean cancel();

    /** Returns whether any byte of the exchange may have left this process. */
    default boolean begun() {
        return true;
    }

    /** Returns whether it waits only for this process (the end of the turn, a port), so the member causes no delay. */
    default boolean isQueuedLocally() {
        return false;
    }
}
