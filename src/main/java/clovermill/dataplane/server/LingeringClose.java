package clovermill.dataplane.server;

import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.Timeout;
import java.nio.ByteBuffer;

/**
 * The last moment of a connection: this side has ended, and what still comes is read and dropped. A close over unread
 * bytes would be a reset, which takes answers with it that are still on their way.
 */
final class LingeringClose {

    /** From this side's end to the close: what crosses the end comes within 50 ms. */
    private static final long CROSSING_US = 100_000;
    /** A client that goes on sending is not read for ever. */
    private static final int MOST_DROPPED = 1 << 18;

    private final Connection connection;
    private final Timeout close;
    private boolean begun;
    private int dropped;

    LingeringClose(Connection connection, Clock clock, Deadlines deadlines) {
        this.connection = connection;
        this.close = new Timeout(clock, deadlines, connection::close);
    }

    boolean begun() {
        return begun;
    }

    void begin() {
        if (!begun && connection.isOpen()) {
            begun = true;
            close.setAfter(CROSSING_US);
            connection.endOutput();
            connection.resume();
        }
    }

    /** Sent before this side's end was seen: it is sent again elsewhere. */
    void drop(ByteBuffer data) {
        dropped += data.remaining();
        data.position(data.limit());
        if (dropped > MOST_DROPPED) {
            connection.close();
        }
    }

    void close() {
        close.close();
    }
}
