package clovermill.dataplane.proxy;

import clovermill.runtime.net.Body;

/**
 * What a member served; {@code notModified}: the client's own copy is the one, and the body is empty. Whoever
 * writes the answer tells {@code receipt} once how much of the body went out; it is null where nobody asks.
 */
public record UpstreamResponse(Body body, boolean notModified, String tag, Receipt receipt) {

    /** Hears how an answer was written. */
    public interface Receipt {

        /** So many bytes of the body were written; {@code whole} if the answer was written to its end. */
        void written(int bytes, boolean whole);
    }

    /** An answer about which nobody asks. */
    public UpstreamResponse(Body body, boolean notModified, String tag) {
        this(body, notModified, tag, null);
    }

    /** The same answer for somebody who wants to hear how it was written. */
    UpstreamResponse with(Receipt hears) {
        return new UpstreamResponse(body, notModified, tag, hears);
    }
}
