package clovermill.dataplane.proxy;

/** Who asked: exactly one of these is called for each request, unless its client has gone before. */
public interface ResponseHandler {

    /** Served; whoever implements this owns the answer's body from now on. */
    void served(UpstreamResponse answer);

    /** Refused: a retry does no harm, and is asked for no sooner than after so many milliseconds. */
    void refused(long afterMs);

    /** Failed, with no promise. */
    void failed();
}
