package clovermill.routing.api;

/**
 * A class of requests.
 *
 * @param targetUs the latency target of a request of no size
 * @param targetServiceFactor the factor by which the service time of a request adds to its latency target
 * @param value the value of a response within the latency target
 * @param lateValue the value of a response after the latency target
 * @param windowUs the time within which a duplicate of a deduplicated request is detected
 * @param passThrough whether requests are executed at the origin and their responses are not cached
 * @param freshUs the time for which a cached copy is fresh; 0 if it is fresh until it is purged
 * @param staleUsableUs the time for which a stale copy may still be served
 * @param staleValue the value of a stale response
 */
public record RequestClass(long targetUs, double targetServiceFactor, long deadlineUs, double value, double lateValue,
        Effect effect,
        KeyScope keyScope, long windowUs, boolean streamed, boolean passThrough, boolean inParts,
        long freshUs,
        long staleUsableUs, double staleValue) {}
