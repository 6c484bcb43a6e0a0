package clovermill.controlplane.policystore;

/** Sends messages between directors, to the sender itself too. Unreliable: a message may be lost without notice. */
@FunctionalInterface
public interface MessageTransport {

    /** Sends a message to the director with a number; never blocks. */
    void send(int to, PolicyMessage message);
}
