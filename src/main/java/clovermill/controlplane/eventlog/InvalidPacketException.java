package clovermill.controlplane.eventlog;

/** Thrown for a datagram that is not a valid packet for this process; the message gives the reason but no content. */
final class InvalidPacketException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without a stack trace, as anyone can send such datagrams at any rate. */
    InvalidPacketException(String reason) {
        super(reason, null, false, false);
    }
}
