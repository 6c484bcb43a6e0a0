package clovermill.dataplane.server;

import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.Timeout;
import java.nio.ByteBuffer;

/**
 * Closes this side's output first and discards what the client still sends for a moment. A close with unread bytes
 * would send a reset, which destroys answers that are still on their way.
 */
final class LingeringClose {

    /** From the end of output to the close; what the client sent before it saw the end arrives within 50 ms. */
    private static final long LINGER_US = 100_000;
    /** A client that sends more than this meanwhile is closed at once. */
    private static final int MAX_DISCARDED_BYTES = 1 << 18;

    private final Connection connection;
    private final Timeout close;
    private boolean hasBegun;
    private int discardedBytes;

    LingeringClose(Connection connection, Clock clock, Deadlines deadlines) {
        this.connection = connection;
        this.close = new Timeout(clock, deadlines, connection::close);
    }

    boolean hasBegun() {
        return hasBegun;
    }

    void begin() {
        if (!hasBegun && connection.isOpen()) {
            hasBegun = true;
            close.setAfter(LINGER_US);
            connection.endOutput();
            connection.resume();
        }
    }

    /** Discards requests that the client sent before it saw the end; it sends them again elsewhere. */
    void discard(ByteBuffer data) {
        discardedBytes += data.remaining();
        data.position(data.limit());
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            connection.close();
        }
    }

    void close() {
        close.close();
    }
}
