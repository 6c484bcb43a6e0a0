package clovermill.dataplane.proxy;

import clovermill.routing.api.Members;

/**
 * Observes the end of every request and may reject a request before it is routed: accounting, rate limits, placement.
 * Listeners are chained by their constructors. All calls come on the loop's thread and must not block.
 */
public interface UsageListener {

    /** Result of {@link #retryAfterMs} for a request that is admitted. */
    long ADMITTED = -1;

    /**
     * Admission of a request: {@link #ADMITTED}, or the delay in milliseconds after which a request that is rejected
     * now may be retried.
     */
    long retryAfterMs(ClientRequest request);

    /** A request has ended; called exactly once for each request that was read, admitted or not. */
    void requestEnded(UsageRecord usage);

    /** The set of members has changed. */
    void membersChanged(Members change);
}
