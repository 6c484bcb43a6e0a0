package clovermill.controlplane.policystore;

/** A datagram that is not a message of this fleet for this director; the text says why and quotes none of it. */
final class MalformedMessageException extends Exception {

    private static final long serialVersionUID = 1L;

    MalformedMessageException(String reason) {
        super(reason, null, false, false);
    }
}
