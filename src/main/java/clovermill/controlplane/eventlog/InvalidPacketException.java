package clovermill.controlplane.eventlog;

/** A datagram that is not a valid packet for this process; the message names the reason and none of its content. */
final class InvalidPacketException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Without a stack trace, as anybody can send such datagrams at any rate. */
    InvalidPacketException(String reason) {
        super(reason, null, false, false);
    }
}
