package clovermill.controlplane.policystore;

/**
 * An unreliable transport of messages between directors, including the sender itself. Messages may be lost silently.
 */
@FunctionalInterface
public interface MessageTransport {

    /** Sends a message to the director with the given number; never blocks. */
    void send(int to, PolicyMessage message);
}
