package clovermill.routing.api;

/**
 * Sends a request with instructions for a cache miss.
 *
 * @param source the id of the member from which a miss is filled
 * @param rank the rank at which the copy is cached; 0 for no copy
 * @param maxAgeUs the maximum age of a copy that may be served; 0 for the class's fresh time
 * @param joinFill whether the request may share a fill that is already in progress
 * @param onlyIfCached whether the source may answer from its cached copy only
 * @param parentNoStore whether the parent is to cache no copy
 * @param staleWhileRevalidate whether an ageing copy may be served while it is fetched again
 */
public record SendVia(String request, String member, long timeoutUs, String source, int rank, long maxAgeUs,
        boolean joinFill,
        boolean onlyIfCached, boolean parentNoStore, boolean staleWhileRevalidate) implements Action {}
