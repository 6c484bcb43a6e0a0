package clovermill.dataplane.proxy;

/** A handler for the answer of one request. Exactly one method is called, unless the request is cancelled before. */
public interface ResponseHandler {

    /** Handles the response of a served request; the handler owns its body from now on. */
    void served(UpstreamResponse response);

    /** Handles a rejection without effect; the request may be retried after {@code retryAfterMs} milliseconds. */
    void rejected(long retryAfterMs);

    /** Handles a failure; the request may have had an effect. */
    void failed();
}
