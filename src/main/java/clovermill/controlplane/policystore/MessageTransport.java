package clovermill.controlplane.policystore;

/** Sends a letter to a director; one to the sender itself comes too. Any may be lost. */
@FunctionalInterface
public interface MessageTransport {

    /** Sends it. */
    void send(int to, PolicyMessage letter);
}
