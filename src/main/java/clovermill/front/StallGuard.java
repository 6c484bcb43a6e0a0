package clovermill.front;

import clovermill.net.Clock;
import clovermill.net.Connection;
import clovermill.net.Deadlines;

/** Closes a connection whose client takes none of its answers for long: it is gone, and must not keep their memory. */
final class StallGuard {

    private static final long STALL_US = 10_000_000;

    private final Connection connection;
    private final Clock clock;
    private final Deadlines deadlines;
    private Deadlines.Deadline next;
    private long writtenBefore;

    StallGuard(Connection connection, Clock clock, Deadlines deadlines) {
        this.connection = connection;
        this.clock = clock;
        this.deadlines = deadlines;
    }

    /** Looks again after a while, if there are answers to be read, whether any have been. */
    void watch() {
        if (next == null && connection.isOpen() && connection.queuedBytes() > 0) {
            writtenBefore = connection.writtenBytes();
            next = deadlines.add(clock.micros() + STALL_US, this::look);
        }
    }

    private void look() {
        next = null;
        // What counts is that nothing has moved: something may well be queued on a busy connection.
        if (connection.queuedBytes() > 0 && connection.writtenBytes() == writtenBefore) {
            connection.close();
        } else {
            watch();
        }
    }

    void close() {
        deadlines.cancel(next);
    }
}
