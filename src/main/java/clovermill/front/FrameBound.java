package clovermill.front;

import clovermill.net.Clock;
import clovermill.net.Connection;
import clovermill.net.Deadlines;

/** Guards against frames that never end, and those that come bit by bit: each has a time to be whole. */
final class FrameBound {

    private final Connection connection;
    private final Clock clock;
    private final Deadlines deadlines;
    private final FrameParser parser;
    private final Runnable late;
    private Deadlines.Deadline by;

    /** {@code late} is run when a frame has taken too long. */
    FrameBound(Connection connection, Clock clock, Deadlines deadlines, FrameParser parser, Runnable late) {
        this.connection = connection;
        this.clock = clock;
        this.deadlines = deadlines;
        this.parser = parser;
        this.late = late;
    }

    /** Something has been read. */
    void look() {
        deadlines.cancel(parser.midFrame() ? null : by);
        if (!parser.midFrame()) {
            by = null;
        } else if (by == null) {
            by = deadlines.add(clock.micros() + IdleConnections.SILENT_US, () -> {
                by = null;
                if (connection.isPaused()) {
                    look(); // it is this side that does not read
                } else {
                    late.run();
                }
            });
        }
    }

    void close() {
        deadlines.cancel(by);
    }
}
