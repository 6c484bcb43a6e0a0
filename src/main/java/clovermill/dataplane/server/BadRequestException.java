package clovermill.dataplane.server;

/** Missing, malformed or out-of-range fields in a client's request. Has no stack trace, since clients can cause it. */
final class BadRequestException extends Exception {

    private static final long serialVersionUID = 1L;

    BadRequestException(String message) {
        super(message, null, false, false);
    }
}
