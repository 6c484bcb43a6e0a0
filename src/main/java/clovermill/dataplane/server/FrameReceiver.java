package clovermill.dataplane.server;

import clovermill.runtime.net.Connection;
import clovermill.runtime.net.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Map;

/**
 * Receives the frames of one client and processes them in order. Frames are queued while the client is throttled or
 * does not read its responses; cancellations are processed immediately even then. After a pause of reading frames are
 * queued until all that has arrived was read: the client may have gone meanwhile, and its end stands behind them.
 */
final class FrameReceiver {

    /** Frame processing stops for a client with more than this many bytes of unread responses. */
    private static final long MAX_UNREAD_BYTES = 1 << 20;

    private final FrameConnection client;
    private final Connection connection;
    private final ServerContext context;
    private final ClientStreams streams;
    private final FrameParser parser;
    private final ReadPause reading;
    private final FrameTimeout frameTimeout;
    private final FrameQueue queue;
    private final ClientThrottle throttle;
    private final BudgetWait budgetWait;
    private boolean hasReceivedFrame;
    /** True from a pause of reading until everything that arrived meanwhile was read. */
    private boolean catchingUp;

    FrameReceiver(FrameConnection client, Connection connection, ServerContext context, ClientStreams streams) {
        this.client = client;
        this.connection = connection;
        this.context = context;
        this.streams = streams;
        this.parser = new FrameParser(context.budget(), this::receiveFrame, this::receiveSkipped);
        this.reading = new ReadPause(connection, context.clock());
        this.frameTimeout = new FrameTimeout(connection, context.clock(), context.deadlines(), parser,
                client::rejectProtocolError);
        this.queue = new FrameQueue(context.budget(), context.clock(), context.deadlines(), this::rejectExpired);
        this.throttle = new ClientThrottle(context.clock(), context.deadlines(), this::resume);
        this.budgetWait = new BudgetWait(context.budget(), context.clock(), context.deadlines(),
                streams::stopNewAttempts, this::resume, this::skipFrame);
    }

    /** Parses bytes from the client: all of them, unless reading gets paused. */
    void receive(ByteBuffer data) throws ProtocolException {
        parser.parse(data);
        if (parser.awaitsMemory()) {
            pauseReading();
            budgetWait.begin();
        } else {
            budgetWait.finish();
        }
        frameTimeout.update();
    }

    /** Processes the queued frames and resumes reading. Does nothing once the connection is closing. */
    void resume() {
        if (client.isClosing() || !connection.isOpen()) {
            return;
        }
        rejectOnError(this::processQueued);
        if (!client.isClosing() && !budgetWait.isWaiting() && (!queue.isFull() || !isThrottled())) {
            reading.resume();
        }
    }

    private void pauseReading() {
        reading.pause();
        catchingUp = true;
    }

    /**
     * Handles that everything that has arrived was read, and that the client is still there.
     *
     * @return whether requests had waited for that
     */
    boolean caughtUp() {
        if (!catchingUp || connection.isPaused()) {
            return false;
        }
        catchingUp = false;
        resume();
        return true;
    }

    /** Stops reading until {@link #resume}. */
    void pause() {
        reading.pause();
    }

    /** Rejects all queued requests, answers the readiness requests among them, and empties the queue. */
    void rejectQueued() {
        for (FrameQueue.Frame next = queue.poll(); next != null; next = queue.poll()) {
            if (next.type() == Frames.REQUEST) {
                client.reject(next.stream(), context.retryAfterMs().getAsLong());
            } else {
                answerReadiness(next.stream());
            }
        }
    }

    /** Counts an unserved request of this client, which may throttle it. */
    void countUnserved() {
        throttle.countUnserved();
    }

    boolean hasQueuedFrames() {
        return !queue.isEmpty();
    }

    /** Returns whether a frame has been read in part. */
    boolean isMidFrame() {
        return parser.isMidFrame();
    }

    /** Returns whether a large frame waits for memory; the rest of it may be unread in the socket. */
    boolean awaitsMemory() {
        return budgetWait.isWaiting();
    }

    /** Returns whether a complete frame has been received on this connection. */
    boolean hasReceivedFrame() {
        return hasReceivedFrame;
    }

    /** Releases all memory and timers, after the connection was closed. */
    void close() {
        frameTimeout.close();
        throttle.close();
        budgetWait.close();
        parser.releaseBuffer();
        queue.close();
    }

    /**
     * Processes or queues a frame.
     *
     * @return false if reading pauses after this frame; a disconnect would not be detected meanwhile
     */
    private boolean receiveFrame(int type, long stream, ByteBuffer payload) throws ProtocolException {
        hasReceivedFrame = true;
        if (queue.isFull()) {
            rejectQueued(); // the end of a client that has gone must not wait for its requests
        }
        boolean mustWait = isBlocked() || !queue.isEmpty();
        if (mustWait) {
            queue.countRead();
        }
        switch (type) {
            case Frames.CANCEL -> cancel(stream); // never queued: the request must not continue meanwhile
            case Frames.REQUEST, Frames.READINESS_REQUEST -> {
                if (!mustWait || !enqueue(type, stream, payload)) {
                    process(type, stream, payload, reading.arrivedUs());
                }
            }
            default -> throw new ProtocolException("unknown frame type");
        }
        if (queue.isFull() && isThrottled()) {
            pauseReading();
            streams.stopNewAttempts();
            return false;
        }
        return true;
    }

    private boolean isBlocked() {
        return isThrottled() || catchingUp && !context.rejectingNew().getAsBoolean();
    }

    private boolean isThrottled() {
        return throttle.isThrottled() && !context.rejectingNew().getAsBoolean()
                || connection.queuedBytes() > MAX_UNREAD_BYTES;
    }

    private boolean enqueue(int type, long stream, ByteBuffer payload) throws ProtocolException {
        long arrivedUs = reading.arrivedUs();
        long answerByUs =
                type == Frames.REQUEST ? streams.answerByUs(payload, arrivedUs) : Long.MAX_VALUE;
        return queue.add(type, stream, payload, arrivedUs, answerByUs);
    }

    private void processQueued() throws ProtocolException {
        while (!isBlocked()) {
            FrameQueue.Frame next = queue.poll();
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
            answerReadiness(stream);
        }
    }

    private void answerReadiness(long stream) {
        throttle.countReadinessRequest();
        byte code = context.ready().getAsBoolean() ? Frames.SERVED : Frames.REJECTED;
        connection.send(Frames.responseHead(Frames.READINESS_RESPONSE, stream, code, Map.of(), 0));
    }

    private void cancel(long stream) throws ProtocolException {
        throttle.countUnserved();
        if (!streams.cancel(stream) && queue.remove(stream)) {
            streams.markUsed(stream);
        }
    }

    /** Rejects a queued request whose deadline has passed. */
    private void rejectExpired(FrameQueue.Frame frame) {
        rejectOnError(() -> streams.reject(frame.stream(), payload(frame)));
        resume(); // the queue is shorter now, so reading may be possible again
    }

    /** Skips a large frame for which no memory was available in time. */
    private void skipFrame() {
        parser.skipFrame();
        resume();
    }

    private void receiveSkipped(int type, long stream) throws ProtocolException {
        if (type != Frames.REQUEST) {
            throw new ProtocolException("a large frame that is not a request");
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

    private static ByteBuffer payload(FrameQueue.Frame frame) {
        return ByteBuffer.wrap(frame.payload()).order(ByteOrder.LITTLE_ENDIAN);
    }
}
