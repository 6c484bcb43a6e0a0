package clovermill.simulation.adapter;

/**
 * Input that violates the protocol. The message contains the line number and the reason; there is no stack trace.
 */
public final class MalformedInput extends RuntimeException {

    private static final long serialVersionUID = 1L;

    MalformedInput(String message) {
        super(message, null, false, false);
    }
}
