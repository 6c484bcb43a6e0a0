package clovermill.dataplane.proxy;

import clovermill.runtime.net.Body;

/**
 * A member's successful answer.
 *
 * @param body the body; its memory is returned when it is closed
 * @param notModified whether the client's own copy is valid; the body is empty then
 * @param tag entity tag of the object, or null
 * @param writeListener called once when the answer has been written to the client, or null
 */
public record UpstreamResponse(Body body, boolean notModified, String tag, WriteListener writeListener) {

    /** Observes the writing of an answer to the client. */
    @FunctionalInterface
    public interface WriteListener {

        /** The writing ended after so many bytes of the body; {@code complete} if that was the whole answer. */
        void written(int bytes, boolean complete);
    }

    /** A response whose writing nobody observes. */
    public UpstreamResponse(Body body, boolean notModified, String tag) {
        this(body, notModified, tag, null);
    }

    /** The same response with a listener. */
    UpstreamResponse withListener(WriteListener listener) {
        return new UpstreamResponse(body, notModified, tag, listener);
    }
}
