package clovermill.runtime.net;

import java.io.IOException;
import java.nio.ByteBuffer;

/** Receives the events of a connection for its owner. No call is made after {@link #closed}. */
public interface ConnectionHandler {

    /** An outgoing connection has been established. */
    default void connected() {}

    /**
     * Bytes have arrived. If the handler leaves bytes in the buffer, reading stops until {@link Connection#resume},
     * and they are delivered again then.
     */
    void received(ByteBuffer data) throws IOException;

    /** All that had arrived was delivered: the peer had sent nothing more, and not closed its output, a moment ago. */
    default void caughtUp() {}

    /** The peer has closed its output; it may still read. */
    void ended();

    /** Queued bytes are about to be written: the last chance to withdraw a request in this turn. */
    default void flushing() {}

    /** All queued bytes have been written to the socket. */
    default void flushed() {}

    /** Everything sent was acknowledged by the peer's system; see {@link Connection#requestDeliveryNotice}. */
    default void delivered() {}

    /** Queued bytes are left after a write; {@link Connection#retractFrom} may remove those not yet written. */
    default void writeBlocked() {}

    /** The connection is closed because of {@code cause}, which is null if this side closed it. */
    void closed(IOException cause);
}
