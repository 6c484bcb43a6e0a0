package clovermill.runtime.net;

import java.io.IOException;

/** The other side has sent what its protocol does not allow; the connection cannot be read further. */
public final class ProtocolException extends IOException {

    private static final long serialVersionUID = 1L;

    public ProtocolException(String message) {
        super(message);
    }
}
