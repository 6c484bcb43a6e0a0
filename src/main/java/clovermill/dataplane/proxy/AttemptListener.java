package clovermill.dataplane.proxy;

import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.LoadReport;
import clovermill.routing.api.Result;

/** Follows one attempt or probe. {@link #ended} is called exactly once, unless the exchange was cancelled. */
public interface AttemptListener {

    /** Whether the attempt may begin; asked immediately before its first bytes are written. */
    default boolean mayBegin() {
        return true;
    }

    /** Whether an attempt that has begun may continue; asked each time before more of its bytes are written. */
    default boolean mayContinue() {
        return true;
    }

    /** The member reported its load; comes before {@link #ended}. */
    default void loadReported(LoadReport load) {}

    /**
     * The attempt has ended. {@code waitedUs} is the time in the member's queue in microseconds. {@code response} is
     * not null exactly with {@link Result#OK}; this listener owns its body from now on.
     */
    void ended(Result result, CacheStatus cacheStatus, long waitedUs, UpstreamResponse response);
}
