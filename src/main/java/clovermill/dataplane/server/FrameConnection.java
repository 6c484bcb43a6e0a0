package clovermill.dataplane.server;

import clovermill.runtime.net.Connection;
import clovermill.runtime.net.ProtocolException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.function.Consumer;

/** One client connection: its open streams, the answers written to it, and its close. */
final class FrameConnection implements Connection.Handler {

    /** A client that connected less than this ago is expected to send its first request. */
    private static final long FIRST_REQUEST_US = 100_000;

    private final Connection connection;
    private final ServerContext context;
    private final ClientStreams streams;
    private final FrameIntake intake;
    private final WriteTimeout writeTimeout;
    private final LingeringClose lingeringClose;
    private final long openedUs;
    private boolean announceAfterNextRequest;
    private boolean closing;
    private boolean forcedClose;
    private boolean inputEnded;

    FrameConnection(Connection connection, ServerContext context) {
        this.connection = connection;
        this.context = context;
        this.streams = new ClientStreams(this, context);
        this.intake = new FrameIntake(this, connection, context, streams);
        this.writeTimeout = new WriteTimeout(connection, context.clock(), context.deadlines());
        this.lingeringClose = new LingeringClose(connection, context.clock(), context.deadlines());
        this.openedUs = context.clock().micros();
    }

    /** Asks the client to send no new requests on this connection. */
    void announceShutdown() {
        connection.send(Frames.emptyFrame(Frames.GOING_AWAY, 0));
    }

    /** A client that connects during the shutdown is served once before it is asked to go elsewhere. */
    void announceShutdownAfterNextRequest() {
        announceAfterNextRequest = true;
    }

    /** Whether this side is about to close, so that no held frame is processed any more. */
    boolean isClosing() {
        return closing;
    }

    private boolean hasNothingPending() {
        return streams.isEmpty() && !intake.hasHeldFrames() && connection.queuedBytes() == 0;
    }

    /**
     * Closes this side if no request is open, after it has read what has arrived. Not to be called from
     * {@link #received}.
     */
    void closeIfIdle() {
        intake.resume();
        if (isIdle()) {
            connection.readNow();
            if (connection.isOpen() && isIdle()) {
                lingeringClose.begin();
            }
        }
    }

    private boolean isIdle() {
        return !lingeringClose.hasBegun() && !closing && hasNothingPending() && !intake.isMidFrame()
                && !connection.isPaused()
                && (intake.hasReceivedFrame() || context.clock().micros() >= openedUs + FIRST_REQUEST_US);
    }

    /**
     * Answers all that has arrived and closes this side; the second call closes the connection even if the client has
     * not read its answers. A close that has begun is left to end in its own time.
     */
    void forceClose() {
        if (lingeringClose.hasBegun()) {
            return;
        }
        if (forcedClose) {
            connection.close();
            return;
        }
        forcedClose = true;
        intake.resume();
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
            intake.receive(data);
            updateIdleState();
        } catch (ProtocolException malformed) {
            data.position(data.limit());
            rejectProtocolError();
        }
    }

    /** Sends an error that belongs to no request. Requests that were accepted are still answered before the close. */
    void rejectProtocolError() {
        fail(0);
        closing = true;
        intake.pause();
        answerPending();
    }

    /** Nothing new is begun: held requests get their final answer, those with an attempt in flight may be served. */
    private void answerPending() {
        streams.stopNewAttempts();
        intake.rejectHeld();
        closeIfDone();
    }

    private void updateIdleState() {
        if (!connection.isOpen() || !intake.hasReceivedFrame()) {
            return;
        }
        if (hasNothingPending() && !intake.isMidFrame()) {
            context.idle().markIdle(this, context.clock().micros());
        } else {
            context.idle().remove(this);
        }
    }

    /**
     * Closes a connection without open requests, after it has read what has arrived; a client in the middle of a frame
     * gets an error. False if the connection turned out to be in use. Not to be called from {@link #received}.
     */
    boolean evict() {
        connection.readNow();
        if (connection.isOpen() && isInUse()) {
            return false;
        }
        if (intake.isMidFrame()) {
            fail(0);
            connection.closeWhenFlushed();
        } else {
            connection.close();
        }
        return true;
    }

    /** A request that waits for memory may have been sent completely: it is owed an answer. */
    private boolean isInUse() {
        return !hasNothingPending() || intake.awaitsMemory() || intake.hasReceivedFrame() && intake.isMidFrame();
    }

    /** A request was accepted on this connection. */
    void requestAccepted() {
        if (announceAfterNextRequest) {
            announceAfterNextRequest = false;
            announceShutdown();
        }
    }

    void end(ClientStream stream) {
        streams.end(stream);
    }

    /** Sends a response; {@code written} is called once, with true if all of it was written to the socket. */
    void respond(ByteBuffer head, ByteBuffer body, Consumer<Boolean> written) {
        connection.send(head);
        connection.send(body, () -> written.accept(connection.isOpen()));
        responseQueued();
    }

    /** Rejects a request; it may be retried after so many milliseconds, 0 for at once. */
    void refuse(long stream, long retryAfterMs) {
        Map<String, String> fields =
                retryAfterMs > 0 ? Map.of("after", Long.toString(retryAfterMs)) : Map.of();
        connection.send(Frames.responseHead(Frames.RESPONSE, stream, Frames.REFUSED, fields, 0));
        intake.countUnserved();
        responseQueued();
    }

    /** Fails a request, or the connection as such where {@code stream} is 0. */
    void fail(long stream) {
        connection.send(Frames.responseHead(Frames.RESPONSE, stream, Frames.FAILED, Map.of(), 0));
        intake.countUnserved();
        responseQueued();
    }

    private void responseQueued() {
        writeTimeout.watch();
        closeIfDone();
    }

    @Override
    public void flushed() {
        intake.resume();
        updateIdleState();
        closeIfDone();
    }

    /** The client has closed its output: it may have gone, or may still read its answers. */
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
        intake.close();
        streams.cancelAll();
        context.closed().accept(this);
    }
}
