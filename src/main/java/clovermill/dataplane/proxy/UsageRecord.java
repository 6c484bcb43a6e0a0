package clovermill.dataplane.proxy;

import clovermill.routing.api.Note;

/**
 * What one request came to. {@code takenUs} and {@code endedUs} are times of the loop's clock; {@code member},
 * {@code source} and {@code note} tell of the attempt that served it and are null where none did, {@code source}
 * also where nothing was to be filled. {@code admitted} is false for a request that was turned away before the
 * module saw it. {@code written} are the bytes of the body that went into the client's
 * socket, {@code size} those that there were.
 */
public record UsageRecord(ClientRequest ask, boolean admitted, long takenUs, long endedUs, End end, int attempts,
        String member,
        String source, Note note, int written, int size) {

    /** How a request may end. */
    public enum End {
        /** The whole body was written. */
        SERVED,
        /** The client's own copy holds. */
        NOT_MODIFIED,
        /** Turned away: it did no harm, and may come again. */
        REFUSED,
        /** Failed, with no promise. */
        FAILED,
        /** The client stopped waiting before there was an answer. */
        GONE,
        /** The client's connection ended before all of the answer was written. */
        BROKEN_OFF
    }
}
