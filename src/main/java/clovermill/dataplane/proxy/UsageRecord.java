package clovermill.dataplane.proxy;

import clovermill.routing.api.Note;

/**
 * The outcome of one request.
 *
 * @param request the request
 * @param admitted whether it was routed; false if it was rejected or invalid before that
 * @param receivedUs when it was received, in microseconds of the monotonic clock
 * @param endedUs when it ended, on the same clock
 * @param end how it ended
 * @param attempts number of attempts, those included that were not sent
 * @param member id of the member that served it, or null
 * @param source id of the member from which a miss was to be filled, or null
 * @param note what the serving member said about its answer, or null
 * @param writtenBytes bytes of the body that were written to the client's socket
 * @param bodyBytes bytes of the whole body
 */
public record UsageRecord(ClientRequest request, boolean admitted, long receivedUs, long endedUs, End end,
        int attempts, String member, String source, Note note, int writtenBytes, int bodyBytes) {

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
        /** The client cancelled or disconnected before there was an answer. */
        GONE,
        /** The client's connection ended before the whole answer was written. */
        BROKEN_OFF
    }
}
