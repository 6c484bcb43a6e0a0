package clovermill.front;

import clovermill.net.Connection;
import clovermill.net.ProtocolException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Map;
import java.util.function.Consumer;

/** One client connection; it owns its open streams and answers each of them once. */
final class FrameConnection implements Connection.Handler {

    /** Nothing more is worked on for a client that lets so much of its answers lie. */
    private static final long MOST_UNREAD = 1 << 20;
    /** A client that has just connected is about to ask. */
    private static final long ABOUT_TO_ASK_US = 100_000;
    private final Connection connection;
    private final FrontParts shared;
    private final FrameParser parser;
    private final ReadPause reading;
    private final FrameTimeout frameTimeout;
    private final HeldFrames held;
    private final ClientThrottle throttle;
    private final BudgetWait budgetWait;
    private final WriteTimeout writeTimeout;
    private final LingeringClose lingeringClose;
    private final ClientStreams streams;
    private final long sinceUs;
    private boolean spoken;
    private boolean leaveAfterNext;
    private boolean closing;
    private boolean cutOff;
    private boolean ended;

    FrameConnection(Connection connection, FrontParts shared) {
        this.connection = connection;
        this.shared = shared;
        this.parser = new FrameParser(shared.budget(), this::frame, this::skipped);
        this.reading = new ReadPause(connection, shared.clock());
        this.frameTimeout = new FrameTimeout(connection, shared.clock(), shared.deadlines(), parser, this::reject);
        this.streams = new ClientStreams(this, shared);
        this.held = new HeldFrames(shared.budget(), shared.clock(), shared.deadlines(), this::expired);
        this.throttle = new ClientThrottle(shared.clock(), shared.deadlines(), this::workOn);
        this.budgetWait = new BudgetWait(shared.budget(), shared.clock(), shared.deadlines(), streams::bar,
                this::workOn, this::skipFrame);
        this.writeTimeout = new WriteTimeout(connection, shared.clock(), shared.deadlines());
        this.lingeringClose = new LingeringClose(connection, shared.clock(), shared.deadlines());
        this.sinceUs = shared.clock().micros();
    }

    /** Tells the client to send nothing new here. */
    void leave() {
        connection.send(Frames.bare(Frames.LEAVING, 0));
    }

    /** A client that connects while the director leaves is served first, and told then. */
    void leaveAfterNext() {
        leaveAfterNext = true;
    }

    private boolean quiet() {
        return streams.isEmpty() && held.isEmpty() && connection.queuedBytes() == 0;
    }

    /**
     * Ends this side of a connection on which nothing taken is open, after a last look at what has come. Not to be
     * called from {@link #received}.
     */
    void endIfIdle() {
        workOn();
        if (idleNow()) {
            connection.readNow();
            if (connection.isOpen() && idleNow()) {
                lingeringClose.begin();
            }
        }
    }

    private boolean idleNow() {
        return !lingeringClose.begun() && !closing && quiet() && !parser.midFrame() && !connection.isPaused()
                && (spoken || shared.clock().micros() >= sinceUs + ABOUT_TO_ASK_US);
    }

    /**
     * Answers what has come and ends this side; at the next call a client that has not taken its answers by then is
     * closed on. One whose end has begun has its 100 ms.
     */
    void cutOff() {
        if (lingeringClose.begun()) {
            return;
        }
        if (cutOff) {
            connection.close();
            return;
        }
        cutOff = true;
        workOn();
        connection.readNow();
        closing = true;
        answerAll();
    }

    @Override
    public void received(ByteBuffer data) {
        if (lingeringClose.begun()) {
            lingeringClose.drop(data);
            return;
        }
        try {
            parser.parse(data);
            if (parser.waitsForRoom()) {
                reading.pause();
                budgetWait.begin();
            } else {
                budgetWait.end();
            }
            frameTimeout.update();
            rest();
        } catch (ProtocolException malformed) {
            data.position(data.limit());
            reject();
        }
    }

    /** Tells of an error that belongs to no request. What was taken is still answered before the close. */
    private void reject() {
        fail(0);
        closing = true;
        reading.pause();
        answerAll();
    }

    /** Nothing more is worked on here: what waits gets its final answer, what is out may still be answered. */
    private void answerAll() {
        streams.bar();
        for (HeldFrames.Frame next = held.poll(); next != null; next = held.poll()) {
            if (next.type() == Frames.REQUEST) {
                refuse(next.stream(), shared.awayMs().getAsLong());
            }
        }
        closeIfDone();
    }

    /** Notes that nothing is owed here, or that something is. */
    private void rest() {
        if (!connection.isOpen() || !spoken) {
            return;
        }
        if (quiet() && !parser.midFrame()) {
            shared.idle().rests(this, shared.clock().micros());
        } else {
            shared.idle().busy(this);
        }
    }

    /**
     * Ends a connection on which nothing is owed, after a last look at what has come; one that is in the middle of a
     * frame is told. False if something has come. Not to be called from {@link #received}.
     */
    boolean letGo() {
        connection.readNow();
        if (connection.isOpen() && (!quiet() || budgetWait.waits() || spoken && parser.midFrame())) {
            return false; // what waits for room may be whole
        }
        if (parser.midFrame()) {
            fail(0);
            connection.closeWhenFlushed();
        } else {
            connection.close();
        }
        return true;
    }

    private boolean heldBack() {
        return throttle.holds() && !shared.turningAway().getAsBoolean() || connection.queuedBytes() > MOST_UNREAD;
    }

    /** False where no more is to be read for a while: its client could go unseen then. */
    private boolean frame(int type, long stream, ByteBuffer payload) throws ProtocolException {
        spoken = true;
        boolean waits = heldBack() || !held.isEmpty();
        if (waits) {
            held.saw();
        }
        switch (type) {
            case Frames.GIVE_UP -> giveUp(stream); // whatever waits: its request must not go on
            case Frames.REQUEST, Frames.READY_QUESTION -> {
                if (!waits || !hold(type, stream, payload)) {
                    take(type, stream, payload, reading.arrivedMicros());
                }
            }
            default -> throw new ProtocolException("an unknown type of frame");
        }
        if (held.full()) {
            reading.pause();
            streams.bar();
        }
        return !held.full();
    }

    private boolean hold(int type, long stream, ByteBuffer payload) throws ProtocolException {
        long arrivedMicros = reading.arrivedMicros();
        return held.add(type, stream, payload, arrivedMicros, type != Frames.REQUEST ? Long.MAX_VALUE
                : streams.answerByMicros(payload, arrivedMicros));
    }

    /** A frame's time is over while it is held. */
    private void expired(HeldFrames.Frame frame) {
        guarded(() -> streams.turnAway(frame.stream(), payload(frame)));
        workOn(); // there may be room to read on
    }

    /** There was no room for a frame, which is read no further than to its end. */
    private void skipFrame() {
        parser.skipFrame();
        workOn();
    }

    private void skipped(int type, long stream) throws ProtocolException {
        if (type != Frames.REQUEST) {
            throw new ProtocolException("a large frame that is no request");
        }
        spoken = true;
        streams.turnAway(stream, null);
    }

    private void giveUp(long stream) throws ProtocolException {
        if (streams.giveUp(stream)) {
            throttle.count();
        } else if (held.withdraw(stream)) {
            streams.spend(stream);
        }
    }

    private void take(int type, long stream, ByteBuffer payload, long arrivedMicros) throws ProtocolException {
        if (type == Frames.REQUEST) {
            streams.take(stream, payload, arrivedMicros);
        } else {
            connection.send(Frames.answer(Frames.READY_ANSWER, stream,
                    shared.ready().getAsBoolean() ? Frames.SERVED : Frames.REFUSED, Map.of(), 0));
        }
    }

    /** Takes up what was held, and reads on. */
    private void workOn() {
        if (closing || !connection.isOpen()) {
            return;
        }
        guarded(() -> {
            for (HeldFrames.Frame next; !heldBack() && (next = held.poll()) != null;) {
                take(next.type(), next.stream(), payload(next), next.arrivedMicros());
            }
        });
        if (!closing && !held.full() && !budgetWait.waits()) {
            reading.resume();
        }
    }

    private interface Step {
        void run() throws ProtocolException;
    }

    private void guarded(Step step) {
        try {
            step.run();
        } catch (ProtocolException malformed) {
            reject();
        }
    }

    private static ByteBuffer payload(HeldFrames.Frame frame) {
        return ByteBuffer.wrap(frame.payload()).order(ByteOrder.LITTLE_ENDIAN);
    }

    /** A request has been taken here. */
    void taken() {
        if (leaveAfterNext) {
            leaveAfterNext = false;
            leave();
        }
    }

    void end(ClientStream stream) {
        streams.end(stream);
    }

    /** Writes an answer with bytes; {@code done} is told once whether all of it has been written. */
    void answer(ByteBuffer head, ByteBuffer body, Consumer<Boolean> done) {
        connection.send(head);
        connection.send(body, () -> done.accept(connection.isOpen()));
        answered();
    }

    void refuse(long stream, long afterMs) {
        Map<String, String> fields = afterMs > 0 ? Map.of("after", Long.toString(afterMs)) : Map.of();
        connection.send(Frames.answer(Frames.ANSWER, stream, Frames.REFUSED, fields, 0));
        throttle.count();
        answered();
    }

    void fail(long stream) {
        connection.send(Frames.answer(Frames.ANSWER, stream, Frames.FAILED, Map.of(), 0));
        throttle.count();
        answered();
    }

    private void answered() {
        writeTimeout.watch();
        closeIfDone();
    }

    @Override
    public void flushed() {
        workOn();
        rest();
        closeIfDone();
    }

    /** The client sends no more: it may have gone, or only read on. */
    @Override
    public void ended() {
        ended = true;
        closing = true;
        answerAll();
    }

    private void closeIfDone() {
        if (closing && streams.isEmpty()) {
            if (ended) {
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
        frameTimeout.close();
        throttle.close();
        budgetWait.close();
        parser.close();
        held.close();
        streams.close();
        shared.closed().accept(this);
    }
}
