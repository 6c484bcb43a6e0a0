package clovermill.dataplane.server;

import clovermill.runtime.net.Connection;
import clovermill.runtime.net.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Map;

/**
 * Reads the frames of one client and passes them on in their order. While the client is throttled, or does not read its
 * answers, its frames are held; cancellations are carried out at once all the same.
 */
final class FrameIntake {

    /** No further frame is processed for a client with so many bytes of answers that it has not read. */
    private static final long MAX_UNREAD_BYTES = 1 << 20;

    private final FrameConnection client;
    private final Connection connection;
    private final ServerContext context;
    private final ClientStreams streams;
    private final FrameParser parser;
    private final ReadPause reading;
    private final FrameTimeout frameTimeout;
    private final HeldFrames held;
    private final ClientThrottle throttle;
    private final BudgetWait budgetWait;
    private boolean hasReceivedFrame;

    FrameIntake(FrameConnection client, Connection connection, ServerContext context, ClientStreams streams) {
        this.client = client;
        this.connection = connection;
        this.context = context;
        this.streams = streams;
        this.parser = new FrameParser(context.budget(), this::receiveFrame, this::receiveSkipped);
        this.reading = new ReadPause(connection, context.clock());
        this.frameTimeout = new FrameTimeout(connection, context.clock(), context.deadlines(), parser,
                client::rejectProtocolError);
        this.held = new HeldFrames(context.budget(), context.clock(), context.deadlines(), this::rejectExpired);
        this.throttle = new ClientThrottle(context.clock(), context.deadlines(), this::resume);
        this.budgetWait = new BudgetWait(context.budget(), context.clock(), context.deadlines(),
                streams::stopNewAttempts, this::resume, this::skipFrame);
    }

    /** Reads bytes of the client, all of them unless reading was paused. */
    void receive(ByteBuffer data) throws ProtocolException {
        parser.parse(data);
        if (parser.awaitsMemory()) {
            reading.pause();
            budgetWait.begin();
        } else {
            budgetWait.end();
        }
        frameTimeout.update();
    }

    /** Processes what was held, and continues to read. Does nothing once the connection is closing. */
    void resume() {
        if (client.isClosing() || !connection.isOpen()) {
            return;
        }
        rejectOnError(this::processHeld);
        if (!client.isClosing() && !held.isFull() && !budgetWait.isWaiting()) {
            reading.resume();
        }
    }

    /** Stops reading until {@link #resume}. */
    void pause() {
        reading.pause();
    }

    /** Rejects all requests that are held; no frame is held any more. */
    void rejectHeld() {
        for (HeldFrames.Frame next = held.poll(); next != null; next = held.poll()) {
            if (next.type() == Frames.REQUEST) {
                client.refuse(next.stream(), context.retryAfterMs().getAsLong());
            }
        }
    }

    /** Counts a request of this client that was not served, which may throttle it. */
    void countUnserved() {
        throttle.countUnserved();
    }

    boolean hasHeldFrames() {
        return !held.isEmpty();
    }

    /** Whether a part of a frame has been read. */
    boolean isMidFrame() {
        return parser.isMidFrame();
    }

    /** Whether a large frame waits for memory; the rest of it may lie unread in the socket. */
    boolean awaitsMemory() {
        return budgetWait.isWaiting();
    }

    /** Whether any complete frame has come since the connection was opened. */
    boolean hasReceivedFrame() {
        return hasReceivedFrame;
    }

    /** Releases all memory and timers; the connection is closed. */
    void close() {
        frameTimeout.close();
        throttle.close();
        budgetWait.close();
        parser.releaseBuffer();
        held.close();
    }

    /** False where no more is to be read for a while, since the end of the client would not be seen behind it. */
    private boolean receiveFrame(int type, long stream, ByteBuffer payload) throws ProtocolException {
        hasReceivedFrame = true;
        boolean mustWait = isBlocked() || !held.isEmpty();
        if (mustWait) {
            held.countRead();
        }
        switch (type) {
            case Frames.CANCEL -> cancel(stream); // not held: the request must not continue meanwhile
            case Frames.REQUEST, Frames.READINESS_REQUEST -> {
                if (!mustWait || !hold(type, stream, payload)) {
                    process(type, stream, payload, reading.arrivedUs());
                }
            }
            default -> throw new ProtocolException("an unknown type of frame");
        }
        if (held.isFull()) {
            reading.pause();
            streams.stopNewAttempts();
        }
        return !held.isFull();
    }

    private boolean isBlocked() {
        return throttle.isThrottled() && !context.rejectingNew().getAsBoolean()
                || connection.queuedBytes() > MAX_UNREAD_BYTES;
    }

    private boolean hold(int type, long stream, ByteBuffer payload) throws ProtocolException {
        long arrivedUs = reading.arrivedUs();
        long answerByUs =
                type == Frames.REQUEST ? streams.answerByUs(payload, arrivedUs) : Long.MAX_VALUE;
        return held.add(type, stream, payload, arrivedUs, answerByUs);
    }

    private void processHeld() throws ProtocolException {
        while (!isBlocked()) {
            HeldFrames.Frame next = held.poll();
            if (next == null) {
                return;
            }
            process(next.type(), next.stream(), payload(next), next.arrivedUs());
        }
    }

    private void process(int type, long stream, ByteBuffer payload, long arrivedUs) throws ProtocolException {
        if (type == Frames.REQUEST) {
            streams.accept(stream, payload, arrivedUs);
        } else {
            byte code = context.ready().getAsBoolean() ? Frames.SERVED : Frames.REFUSED;
            connection.send(Frames.responseHead(Frames.READINESS_RESPONSE, stream, code, Map.of(), 0));
        }
    }

    private void cancel(long stream) throws ProtocolException {
        if (streams.cancel(stream)) {
            throttle.countUnserved();
        } else if (held.remove(stream)) {
            streams.markUsed(stream);
        }
    }

    /** A held request has run out of time. */
    private void rejectExpired(HeldFrames.Frame frame) {
        rejectOnError(() -> streams.reject(frame.stream(), payload(frame)));
        resume(); // less is held now, which may let it read again
    }

    /** No memory was available in time for a large frame. */
    private void skipFrame() {
        parser.skipFrame();
        resume();
    }

    private void receiveSkipped(int type, long stream) throws ProtocolException {
        if (type != Frames.REQUEST) {
            throw new ProtocolException("a large frame that is no request");
        }
        hasReceivedFrame = true;
        streams.reject(stream, null);
    }

    private interface Step {
        void run() throws ProtocolException;
    }

    private void rejectOnError(Step step) {
        try {
            step.run();
        } catch (ProtocolException malformed) {
            client.rejectProtocolError();
        }
    }

    private static ByteBuffer payload(HeldFrames.Frame frame) {
        return ByteBuffer.wrap(frame.payload()).order(ByteOrder.LITTLE_ENDIAN);
    }
}
