package clovermill.dataplane.server;

import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.Timeout;

/** Closes a connection whose client reads none of its answers for a while, which frees their memory. */
final class WriteTimeout {

    private static final long TIMEOUT_US = 10_000_000;

    private final Connection connection;
    private final Timeout check;
    private long writtenBytesBefore;

    WriteTimeout(Connection connection, Clock clock, Deadlines deadlines) {
        this.connection = connection;
        this.check = new Timeout(clock, deadlines, this::check);
    }

    /** Schedules a check if answers are queued and none is scheduled. */
    void watch() {
        if (!check.isSet() && connection.isOpen() && connection.queuedBytes() > 0) {
            writtenBytesBefore = connection.writtenBytes();
            check.setAfter(TIMEOUT_US);
        }
    }

    /** Progress counts, not an empty queue: a busy connection always has bytes queued. */
    private void check() {
        if (connection.queuedBytes() > 0 && connection.writtenBytes() == writtenBytesBefore) {
            connection.close();
        } else {
            watch();
        }
    }

    void close() {
        check.close();
    }
}
