package clovermill.dataplane.server;

import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.Timeout;

/** Bounds the time from the first byte of a frame to its last. */
final class FrameTimeout {

    private final Connection connection;
    private final FrameParser parser;
    private final Timeout timeout;
    private final Runnable onTimeout;

    /** {@code onTimeout} runs when a frame is not complete in {@link IdleConnections#FIRST_FRAME_US}. */
    FrameTimeout(Connection connection, Clock clock, Deadlines deadlines, FrameParser parser, Runnable onTimeout) {
        this.connection = connection;
        this.parser = parser;
        this.onTimeout = onTimeout;
        this.timeout = new Timeout(clock, deadlines, this::expire);
    }

    /** Bytes have been read. */
    void update() {
        if (!parser.isMidFrame()) {
            timeout.cancel();
        } else if (!timeout.isSet()) {
            timeout.setAfter(IdleConnections.FIRST_FRAME_US);
        }
    }

    private void expire() {
        if (connection.isPaused()) {
            update(); // the delay is this side's, which does not read
        } else {
            onTimeout.run();
        }
    }

    void close() {
        timeout.close();
    }
}
