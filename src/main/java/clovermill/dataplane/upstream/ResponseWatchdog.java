package clovermill.dataplane.upstream;

import clovermill.runtime.net.Connection;
import clovermill.runtime.net.Deadlines.Deadline;

/**
 * Closes a connection whose response stalls or arrives too slowly: the responses behind it on the same connection
 * cannot be read.
 */
final class ResponseWatchdog {

    /** A cancelled response may take this many dial times at its current rate. */
    private static final int MAX_DIAL_TIMES = 20;

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

    /** When bytes were last received, in microseconds of the monotonic clock. */
    long lastReceivedUs() {
        return lastReceivedUs;
    }

    /** Starts the stall timeout if a response is partly read. */
    void watch() {
        if (stallTimeout == null && parser.isMidResponse() && connection.isOpen()) {
            stallTimeout = pool.addDialTimeout(() -> {
                stallTimeout = null;
                if (parser.isMidResponse() && !parser.awaitsBudget() && pool.hasDialTimePassed(lastReceivedUs)) {
                    connection.close();
                } else {
                    watch();
                }
            });
        }
    }

    /** Closes the connection unless the cancelled response that is being read would be complete in some dial times. */
    void closeUnlessProgressing(String id) {
        int remainingBefore = parser.remainingBytes();
        pool.addDialTimeout(() -> {
            if (closed || !parser.isReading(id)) {
                return;
            }
            if ((remainingBefore - parser.remainingBytes()) * MAX_DIAL_TIMES < parser.remainingBytes()) {
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
