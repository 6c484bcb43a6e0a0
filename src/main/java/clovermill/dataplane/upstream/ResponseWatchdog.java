package clovermill.dataplane.upstream;

import clovermill.runtime.net.Connection;
import clovermill.runtime.net.Deadlines.Deadline;

/**
 * A watchdog that closes a connection whose response stalls or arrives too slowly, since it blocks the responses behind
 * it.
 */
final class ResponseWatchdog {

    /** Limit of the time that a cancelled response may take at its current rate, in dial timeouts. */
    private static final int MAX_DIAL_TIMEOUTS = 20;

    private final UpstreamPool pool;
    private final Connection connection;
    private final ResponseParser parser;
    private Deadline stallTimeout;
    private long lastReceivedUs;
    private boolean closed;

    ResponseWatchdog(UpstreamPool pool, Connection connection, ResponseParser parser) {
        this.pool = pool;
        this.connection = connection;
        this.parser = parser;
    }

    /** Records that bytes have been received now. */
    void recordReceived() {
        lastReceivedUs = pool.nowUs();
    }

    /** Returns when bytes were last received, in microseconds of the monotonic clock. */
    long lastReceivedUs() {
        return lastReceivedUs;
    }

    /** Starts the stall timeout if a response is partly read. */
    void watch() {
        if (stallTimeout == null && parser.isMidResponse() && connection.isOpen()) {
            stallTimeout = pool.addDialTimeout(() -> {
                stallTimeout = null;
                if (parser.isMidResponse() && !parser.awaitsBudget() && pool.hasDialTimeoutPassed(lastReceivedUs)) {
                    connection.close();
                } else {
                    watch();
                }
            });
        }
    }

    /**
     * Closes the connection unless the cancelled response being read progresses fast enough to complete within
     * {@link #MAX_DIAL_TIMEOUTS}.
     */
    void closeUnlessProgressing(String id) {
        int remainingBefore = parser.remainingBytes();
        pool.addDialTimeout(() -> {
            if (closed || !parser.isReading(id)) {
                return;
            }
            if ((remainingBefore - parser.remainingBytes()) * MAX_DIAL_TIMEOUTS < parser.remainingBytes()) {
                connection.close();
            } else {
                closeUnlessProgressing(id);
            }
        });
    }

    /** Stops watching. */
    void close() {
        closed = true;
        pool.cancel(stallTimeout);
    }
}
