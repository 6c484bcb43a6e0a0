package clovermill.dataplane.server;

import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.Timeout;

/** Guards against frames that never end, and those that come bit by bit: each has a time to be whole. */
final class FrameTimeout {

    private final Connection connection;
    private final FrameParser parser;
    private final Timeout whole;
    private final Runnable late;

    /** {@code late} is run when a frame has taken too long. */
    FrameTimeout(Connection connection, Clock clock, Deadlines deadlines, FrameParser parser, Runnable late) {
        this.connection = connection;
        this.parser = parser;
        this.late = late;
        this.whole = new Timeout(clock, deadlines, this::expired);
    }

    /** Something has been read. */
    void update() {
        if (!parser.midFrame()) {
            whole.cancel();
        } else if (!whole.isSet()) {
            whole.setAfter(IdleConnections.SILENT_US);
        }
    }

    private void expired() {
        if (connection.isPaused()) {
            update(); // it is this side that does not read
        } else {
            late.run();
        }
    }

    void close() {
        whole.close();
    }
}
