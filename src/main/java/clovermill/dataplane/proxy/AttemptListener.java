package clovermill.dataplane.proxy;

import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.LoadReport;
import clovermill.routing.api.Result;

/** A listener for one attempt or probe. {@link #ended} is called exactly once, unless the exchange was cancelled. */
public interface AttemptListener {

    /** Returns whether the attempt may begin; called immediately before its first bytes are written. */
    default boolean mayBegin() {
        return true;
    }

    /** Returns whether an attempt that has begun may continue; called each time before more of it is written. */
    default boolean mayContinue() {
        return true;
    }

    /** Handles the member's load report; called before {@link #ended}. */
    default void loadReported(LoadReport load) {}

    /**
     * Handles the end of the attempt.
     *
     * @param waitedUs time in the member's queue, in microseconds
     * @param response not null exactly with {@link Result#OK}; this listener owns its body from now on
     */
    void ended(Result result, CacheStatus cacheStatus, long waitedUs, UpstreamResponse response);
}
