package clovermill.dataplane.server;

import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.Timeout;

/** A timeout from the first byte of a frame to its last. */
final class FrameTimeout {

    private final Connection connection;
    private final FrameParser parser;
    private final Timeout timeout;
    private final Runnable onTimeout;

    /**
     * Creates a timeout; {@code onTimeout} runs if a frame takes longer than {@link IdleConnections#FRAME_TIMEOUT_US}.
     */
    FrameTimeout(Connection connection, Clock clock, Deadlines deadlines, FrameParser parser, Runnable onTimeout) {
        this.connection = connection;
        this.parser = parser;
        this.onTimeout = onTimeout;
        this.timeout = new Timeout(clock, deadlines, this::expire);
    }

    /** Sets or cancels the timeout after bytes have been read. */
    void update() {
        if (!parser.isMidFrame()) {
            timeout.cancel();
        } else if (!timeout.isSet()) {
            timeout.setAfter(IdleConnections.FRAME_TIMEOUT_US);
        }
    }

    private void expire() {
        if (connection.isPaused()) {
            update(); // reading is paused, so the client did not cause the delay
        } else {
            onTimeout.run();
        }
    }

    void close() {
        timeout.close();
    }
}
