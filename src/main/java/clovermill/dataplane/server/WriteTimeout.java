package clovermill.dataplane.server;

import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.Timeout;

/** Closes a connection whose client takes none of its answers for long: it is gone, and must not keep their memory. */
final class WriteTimeout {

    private static final long STALL_US = 10_000_000;

    private final Connection connection;
    private final Timeout check;
    private long writtenBefore;

    WriteTimeout(Connection connection, Clock clock, Deadlines deadlines) {
        this.connection = connection;
        this.check = new Timeout(clock, deadlines, this::check);
    }

    /** Checks after a while, if there are answers to be read, whether any have been. */
    void watch() {
        if (!check.isSet() && connection.isOpen() && connection.queuedBytes() > 0) {
            writtenBefore = connection.writtenBytes();
            check.setAfter(STALL_US);
        }
    }

    private void check() {
        // What counts is that nothing has moved: something may well be queued on a busy connection.
        if (connection.queuedBytes() > 0 && connection.writtenBytes() == writtenBefore) {
            connection.close();
        } else {
            watch();
        }
    }

    void close() {
        check.close();
    }
}
