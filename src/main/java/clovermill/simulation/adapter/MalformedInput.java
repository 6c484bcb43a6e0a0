package clovermill.simulation.adapter;

/**
 * Input that the protocol does not allow; the message names the line's number and the reason, without a stack trace.
 */
public final class MalformedInput extends RuntimeException {

    private static final long serialVersionUID = 1L;

    MalformedInput(String message) {
        super(message, null, false, false);
    }
}
