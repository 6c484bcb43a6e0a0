package clovermill.dataplane.proxy;

/**
 * One attempt to be sent to a member.
 *
 * @param request what the client asked for
 * @param member id of the member that gets the attempt
 * @param timeoutUs time from now until the attempt is given up, in microseconds
 * @param source id of the member from which a miss is filled, or null where a miss is not filled
 * @param rank rank at which the member caches the object after a miss; 0: it does not cache it
 * @param maxAgeUs oldest copy that may be served, in microseconds; 0 for the fresh time of the class
 * @param join whether the attempt may wait for a fill of the same object that is under way
 * @param cachedOnly whether the source may serve only what it has cached
 * @param parentMustNotCache whether the source of a fill must not cache the object
 * @param renew whether an ageing copy is served while it is fetched again
 */
public record AttemptOrder(ClientRequest request, String member, long timeoutUs, String source, int rank,
        long maxAgeUs, boolean join, boolean cachedOnly, boolean parentMustNotCache, boolean renew) {}
