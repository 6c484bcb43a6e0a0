package clovermill.dataplane.upstream;

import clovermill.runtime.net.Connection;
import clovermill.runtime.net.Deadlines.Deadline;

/**
 * Guards against answers that stop short while their connection stays open, and those that go on for ever bit by
 * bit: what is behind them on the same connection can never be read, so that all on it would wait in vain.
 */
final class ResponseWatchdog {

    /** What goes on at the pace of an answer that is slow but whole in the end takes no longer, in dial times. */
    private static final int MOST_DIALS = 20;

    private final UpstreamPool pool;
    private final Connection connection;
    private final ResponseParser parser;
    private Deadline stall;
    private long heardUs;
    private boolean closed;

    ResponseWatchdog(UpstreamPool pool, Connection connection, ResponseParser parser) {
        this.pool = pool;
        this.connection = connection;
        this.parser = parser;
    }

    /** Something has been read. */
    void heard() {
        heardUs = pool.now();
    }

    long heardUs() {
        return heardUs;
    }

    /** Looks after an answer that is in its middle. */
    void watch() {
        if (stall == null && parser.midAnswer() && connection.isOpen()) {
            stall = pool.dialDeadline(() -> {
                stall = null;
                if (parser.midAnswer() && !parser.waitsForRoom() && pool.dialTimeHasPassed(heardUs)) {
                    connection.close();
                } else {
                    watch();
                }
            });
        }
    }

    /** Nobody waits for the answer that is being read: it may go on while it would be whole in some dials' time. */
    void endUnlessAnswered(String id) {
        int leftBefore = parser.left();
        pool.dialDeadline(() -> {
            if (closed || !parser.answers(id)) {
                return;
            }
            if ((leftBefore - parser.left()) * MOST_DIALS < parser.left()) {
                connection.close();
            } else {
                endUnlessAnswered(id);
            }
        });
    }

    void close() {
        closed = true;
        pool.cancel(stall);
    }
}
