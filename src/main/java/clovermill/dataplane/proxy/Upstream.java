package clovermill.dataplane.proxy;

/** A sender of attempts to members, independent of their protocol. Called on the event loop's thread. */
public interface Upstream {

    /** Sends an attempt; {@code listener} may be called before this returns. */
    Exchange send(AttemptOrder order, AttemptListener listener);

    /** Probes whether a member is reachable and ready. */
    void probe(String member, AttemptListener listener);

    /** Closes the idle connections to a member. */
    void closeIdle(String member);
}
