package clovermill.dataplane.server;

/** The fields of a client's request are missing, malformed or out of range. Without a stack trace: clients cause it. */
final class BadRequestException extends Exception {

    private static final long serialVersionUID = 1L;

    BadRequestException(String message) {
        super(message, null, false, false);
    }
}
