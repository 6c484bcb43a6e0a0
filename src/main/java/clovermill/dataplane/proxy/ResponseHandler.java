package clovermill.dataplane.proxy;

/** Answers one client: exactly one of these methods is called for each request, unless its client has gone before. */
public interface ResponseHandler {

    /** The request was served; the handler owns the response's body from now on. */
    void served(UpstreamResponse response);

    /** The request was rejected without effect; it may be retried after so many milliseconds. */
    void refused(long retryAfterMs);

    /** The request failed; it may have had an effect. */
    void failed();
}
