package clovermill.dataplane.proxy;

import clovermill.runtime.net.Body;

/**
 * A member's successful response.
 *
 * @param body the body; its memory is returned when it is closed
 * @param notModified whether the client's own copy is valid; the body is empty then
 * @param tag entity tag of the object, or null
 * @param writeListener called once when the write to the client has ended, or null
 */
public record UpstreamResponse(Body body, boolean notModified, String tag, WriteListener writeListener) {

    /** A listener for the write of a response to the client. */
    @FunctionalInterface
    public interface WriteListener {

        /**
         * Handles the end of the write after {@code bytes} body bytes; {@code complete} if the response was written.
         */
        void written(int bytes, boolean complete);
    }

    /** Creates a response without a write listener. */
    public UpstreamResponse(Body body, boolean notModified, String tag) {
        this(body, notModified, tag, null);
    }

    /** Returns a copy of the response with a write listener. */
    UpstreamResponse withListener(WriteListener listener) {
        return new UpstreamResponse(body, notModified, tag, listener);
    }
}
