package clovermill.dataplane.proxy;

import clovermill.routing.api.MembersChanged;

/**
 * A listener for the end of every request, which may reject a request before it is routed: accounting, rate limits,
 * placement. Listeners are chained by their constructors. All calls are on the event loop's thread and must not block.
 */
public interface UsageListener {

    /** Result of {@link #retryAfterMs} for a request that is admitted. */
    long ADMITTED = -1;

    /**
     * Decides on the admission of a request.
     *
     * @return {@link #ADMITTED}, or the retry delay in milliseconds of a rejected request
     */
    long retryAfterMs(ClientRequest request);

    /**
     * Takes back the admission of a request that another listener of the chain has rejected afterwards. Its end is
     * reported as that of a request that was not admitted.
     */
    void admissionWithdrawn(ClientRequest request);

    /** Handles the end of a request; called exactly once for each request that was read, admitted or not. */
    void requestEnded(UsageRecord usage);

    /** Handles a change of the set of members. */
    void membersChanged(MembersChanged change);
}
