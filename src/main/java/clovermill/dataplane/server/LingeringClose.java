package clovermill.dataplane.server;

import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.Timeout;
import java.nio.ByteBuffer;

/**
 * A close that first shuts down this side's output and discards further input for a short time. Closing with unread
 * input would send a reset, which destroys responses still in transit.
 */
final class LingeringClose {

    /** Delay from the end of output to the close; input sent before the client saw the end arrives within 50 ms. */
    private static final long LINGER_US = 100_000;
    /** Limit of discarded input, above which the connection is closed immediately. */
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

    /** Discards requests that the client sent before it saw the end; it retries them on another connection. */
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
