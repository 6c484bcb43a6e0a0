package clovermill.controlplane.policystore;

/** Thrown for a datagram that is not a message of this fleet to this director. The reason quotes no bytes of it. */
final class MalformedMessageException extends Exception {

    private static final long serialVersionUID = 1L;

    MalformedMessageException(String reason) {
        super(reason, null, false, false);
    }
}
