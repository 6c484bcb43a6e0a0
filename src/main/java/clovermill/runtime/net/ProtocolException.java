package clovermill.runtime.net;

import java.io.IOException;

/** Thrown if the peer violates its protocol; the connection cannot be read further. */
public final class ProtocolException extends IOException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception; {@code message} names the violation. */
    public ProtocolException(String message) {
        super(message);
    }
}
