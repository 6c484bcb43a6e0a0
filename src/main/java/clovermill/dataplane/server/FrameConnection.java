package clovermill.dataplane.server;

import clovermill.runtime.net.Connection;
import clovermill.runtime.net.ConnectionHandler;
import clovermill.runtime.net.ProtocolException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.function.Consumer;

/** One client connection: manages its open streams, response writes and close. */
final class FrameConnection implements ConnectionHandler {

    /** Time after the connect in which a client is expected to send its first request. */
    private static final long FIRST_REQUEST_US = 100_000;

    private final Connection connection;
    private final ServerContext context;
    private final ClientStreams streams;
    private final FrameReceiver receiver;
    private final WriteTimeout writeTimeout;
    private final LingeringClose lingeringClose;
    private final long openedUs;
    private boolean announceAfterNextRequest;
    private boolean closeWhenDelivered;
    private boolean closing;
    private boolean forcedClose;
    private boolean inputEnded;

    FrameConnection(Connection connection, ServerContext context) {
        this.connection = connection;
        this.context = context;
        this.streams = new ClientStreams(this, context);
        this.receiver = new FrameReceiver(this, connection, context, streams);
        this.writeTimeout = new WriteTimeout(connection, context.clock(), context.deadlines());
        this.lingeringClose = new LingeringClose(connection, context.clock(), context.deadlines());
        this.openedUs = context.clock().micros();
    }

    /** Asks the client to send no new requests on this connection. */
    void announceShutdown() {
        connection.send(Frames.emptyFrame(Frames.GOING_AWAY, 0));
    }

    /** Defers {@link #announceShutdown} so that a client that connects during the shutdown gets one request served. */
    void announceShutdownAfterNextRequest() {
        announceAfterNextRequest = true;
    }

    /** Returns whether this side is about to close; queued frames are no longer processed then. */
    boolean isClosing() {
        return closing;
    }

    private boolean hasNothingPending() {
        return streams.isEmpty() && !receiver.hasQueuedFrames() && connection.queuedBytes() == 0;
    }

    /**
     * Reads the bytes that have arrived, then closes this side if no request is open and the client has its responses.
     * Must not be called from {@link #received}.
     */
    void closeIfIdle() {
        receiver.resume();
        if (isIdle()) {
            connection.readNow();
            if (connection.isOpen() && isIdle()) {
                closeWhenDelivered();
            }
        }
    }

    private void closeWhenDelivered() {
        closeWhenDelivered = !connection.isDelivered();
        if (closeWhenDelivered) {
            connection.requestDeliveryNotice();
        } else {
            lingeringClose.begin();
        }
    }

    private boolean isIdle() {
        return !lingeringClose.hasBegun() && !closing && hasNothingPending() && !receiver.isMidFrame()
                && !connection.isPaused()
                && (receiver.hasReceivedFrame() || context.clock().micros() >= openedUs + FIRST_REQUEST_US);
    }

    /**
     * Answers all requests that have arrived and closes this side; the second call closes the connection even if the
     * client has not read its responses. A lingering close in progress no longer waits for the client to read.
     */
    void forceClose() {
        if (lingeringClose.hasBegun()) {
            lingeringClose.endOutput();
            return;
        }
        if (forcedClose) {
            connection.close();
            return;
        }
        forcedClose = true;
        receiver.resume();
        connection.readNow();
        closing = true;
        answerPending();
    }

    @Override
    public void received(ByteBuffer data) {
        if (lingeringClose.hasBegun()) {
            lingeringClose.discard(data);
            return;
        }
        try {
            receiver.receive(data);
            updateIdleState();
        } catch (ProtocolException malformed) {
            data.position(data.limit());
            rejectProtocolError();
        }
    }

    @Override
    public void caughtUp() {
        if (!lingeringClose.hasBegun() && receiver.caughtUp()) {
            updateIdleState();
        }
    }

    /** Sends a connection error and closes this side once the accepted requests have been answered. */
    void rejectProtocolError() {
        fail(0);
        closing = true;
        receiver.pause();
        answerPending();
    }

    /** Rejects queued requests and prevents new attempts; requests with an attempt in flight may still be served. */
    private void answerPending() {
        streams.stopNewAttempts();
        receiver.rejectQueued();
        closeIfDone();
    }

    private void updateIdleState() {
        if (!connection.isOpen() || !receiver.hasReceivedFrame()) {
            return;
        }
        if (hasNothingPending() && !receiver.isMidFrame()) {
            context.idle().addAnswered(this, context.clock().micros());
        } else {
            context.idle().remove(this);
        }
    }

    /** Closes the connection of a client that does not take its responses, unless it has sent another request. */
    void closeUndelivered() {
        connection.readNow();
        if (connection.isOpen() && hasNothingPending()) {
            connection.close();
        }
    }

    /** Reports the connection as idle once the client's system has acknowledged all responses, or now if it has. */
    void watchDelivery() {
        if (connection.isDelivered()) {
            delivered();
        } else {
            connection.requestDeliveryNotice();
        }
    }

    @Override
    public void delivered() {
        lingeringClose.delivered();
        if (closeWhenDelivered) {
            closeIfIdle();
        }
        context.idle().markDelivered(this, context.clock().micros());
    }

    /**
     * Reads the bytes that have arrived, then closes the connection unless it is in use. A client in the middle of a
     * frame gets an error. Must not be called from {@link #received}.
     *
     * @return false if the connection is in use
     */
    boolean evict() {
        connection.readNow();
        if (connection.isOpen() && isInUse()) {
            return false;
        }
        if (receiver.isMidFrame()) {
            fail(0);
            connection.closeWhenFlushed();
        } else {
            connection.close();
        }
        return true;
    }

    /**
     * A request that waits for memory may have been sent completely and must be answered, so it counts as use; so do
     * responses that the client may still be reading.
     */
    private boolean isInUse() {
        return !hasNothingPending() || !connection.isDelivered() || receiver.awaitsMemory()
                || receiver.hasReceivedFrame() && receiver.isMidFrame();
    }

    /** Sends a deferred shutdown announcement; called when a request has been accepted. */
    void requestAccepted() {
        if (announceAfterNextRequest) {
            announceAfterNextRequest = false;
            announceShutdown();
        }
    }

    void closeStream(ClientStream stream) {
        streams.close(stream);
    }

    /** Sends a response; {@code written} is called once, with true if the whole response was written to the socket. */
    void respond(ByteBuffer head, ByteBuffer body, Consumer<Boolean> written) {
        connection.send(head);
        connection.send(body, () -> written.accept(connection.isOpen()));
        responseQueued();
    }

    /** Rejects a request, which may be retried after {@code retryAfterMs} milliseconds; 0 means immediately. */
    void reject(long stream, long retryAfterMs) {
        Map<String, String> fields =
                retryAfterMs > 0 ? Map.of("after", Long.toString(retryAfterMs)) : Map.of();
        connection.send(Frames.responseHead(Frames.RESPONSE, stream, Frames.REJECTED, fields, 0));
        receiver.countUnserved();
        responseQueued();
    }

    /** Sends an error for a request, or for the whole connection if {@code stream} is 0. */
    void fail(long stream) {
        connection.send(Frames.responseHead(Frames.RESPONSE, stream, Frames.FAILED, Map.of(), 0));
        receiver.countUnserved();
        responseQueued();
    }

    private void responseQueued() {
        writeTimeout.watch();
        closeIfDone();
    }

    @Override
    public void flushed() {
        receiver.resume();
        updateIdleState();
        closeIfDone();
    }

    /** Handles the end of the client's output: it may have disconnected, or may still read its responses. */
    @Override
    public void ended() {
        inputEnded = true;
        closing = true;
        answerPending();
    }

    private void closeIfDone() {
        if (closing && streams.isEmpty()) {
            if (inputEnded) {
                connection.closeWhenFlushed();
            } else if (connection.queuedBytes() == 0) {
                lingeringClose.begin();
            }
        }
    }

    @Override
    public void closed(IOException cause) {
        writeTimeout.close();
        lingeringClose.close();
        receiver.close();
        streams.cancelAll();
        context.closed().accept(this);
    }
}
