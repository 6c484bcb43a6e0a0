package clovermill.dataplane.proxy;

/** Sends attempts to members, by whatever protocol they speak. Called on the loop's thread. */
public interface Upstream {

    /** Sends an attempt; {@code listener} may be called before this returns. */
    Exchange send(AttemptOrder order, AttemptListener listener);

    /** Asks a member whether it is reachable and ready. */
    void probe(String member, AttemptListener listener);

    /** Closes the idle connections to a member. */
    void closeIdle(String member);
}
