package clovermill.dataplane.server;

import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.Timeout;
import java.nio.ByteBuffer;

/**
 * A close that waits until the client's system has all responses, then shuts down this side's output and discards
 * further input for a short time. Closing with unread input, or before input arrives, sends a reset, which destroys
 * responses still in transit.
 */
final class LingeringClose {

    /** Delay from the end of output to the close; input sent before the client saw the end arrives within 50 ms. */
    private static final long LINGER_US = 100_000;
    /** A client that has read nothing for as long has stopped reading, as in {@link WriteTimeout}. */
    private static final long MAX_DELIVERY_US = 10_000_000;
    /** Limit of discarded input, above which the connection is closed immediately. */
    private static final int MAX_DISCARDED_BYTES = 1 << 18;

    private final Connection connection;
    private final Timeout deliveryTimeout;
    private final Timeout close;
    private boolean hasBegun;
    private boolean outputEnded;
    private int discardedBytes;

    LingeringClose(Connection connection, Clock clock, Deadlines deadlines) {
        this.connection = connection;
        this.deliveryTimeout = new Timeout(clock, deadlines, this::endOutput);
        this.close = new Timeout(clock, deadlines, connection::close);
    }

    boolean hasBegun() {
        return hasBegun;
    }

    void begin() {
        if (!hasBegun && connection.isOpen()) {
            hasBegun = true;
            connection.resume();
            if (connection.isDelivered()) {
                endOutput();
            } else {
                deliveryTimeout.setAfter(MAX_DELIVERY_US);
                connection.requestDeliveryNotice();
            }
        }
    }

    /** Continues the close, if it has begun: the client's system has all responses. */
    void delivered() {
        if (hasBegun) {
            endOutput();
        }
    }

    /** Shuts down this side's output, and closes the connection soon after. */
    void endOutput() {
        if (!outputEnded) {
            outputEnded = true;
            deliveryTimeout.close();
            close.setAfter(LINGER_US);
            connection.endOutput();
        }
    }

    /** Discards requests that the client sent before it saw the end; it retries them on another connection. */
    void discard(ByteBuffer data) {
        discardedBytes += data.remaining();
        data.position(data.limit());
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            connection.close();
        }
    }

    void close() {
        deliveryTimeout.close();
        close.close();
    }
}
