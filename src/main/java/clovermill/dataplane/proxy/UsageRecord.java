package clovermill.dataplane.proxy;

import clovermill.routing.api.CacheStatus;

/**
 * The outcome of one request.
 *
 * @param request the request
 * @param admitted whether it was routed; false if it was rejected or invalid before that
 * @param receivedUs when it was received, in microseconds of the monotonic clock
 * @param endedUs when it ended, on the same clock
 * @param end how it ended
 * @param attempts number of attempts, including those that were not sent
 * @param member id of the member that served it, or null
 * @param source id of the member from which a miss would be filled, or null
 * @param cacheStatus the cache status that the serving member reported, or null
 * @param writtenBytes number of body bytes written to the client's socket
 * @param bodyBytes size of the whole body
 */
public record UsageRecord(ClientRequest request, boolean admitted, long receivedUs, long endedUs, End end,
        int attempts, String member, String source, CacheStatus cacheStatus, int writtenBytes, int bodyBytes) {

    /** How a request ended. */
    public enum End {
        /** The whole body was written. */
        SERVED,
        /** The client's own copy is valid; no body. */
        NOT_MODIFIED,
        /** Rejected without effect; it may be retried. */
        REFUSED,
        /** Failed; it may have had an effect. */
        FAILED,
        /** The client cancelled or disconnected before its request was answered. */
        GONE,
        /** The client's connection closed before the whole response was written. */
        BROKEN_OFF
    }
}
