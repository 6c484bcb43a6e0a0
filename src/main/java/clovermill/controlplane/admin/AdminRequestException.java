package clovermill.controlplane.admin;

/** Thrown if a request cannot be parsed; the message is the response's body. */
final class AdminRequestException extends Exception {

    private static final long serialVersionUID = 1L;
    private final int status;

    AdminRequestException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    /** Returns the HTTP status of the response (RFC 9110, 15.5 and 15.6). */
    int status() {
        return status;
    }
}
