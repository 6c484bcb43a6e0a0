package clovermill.front;

import clovermill.host.Answer;
import clovermill.host.Ask;
import clovermill.host.Asker;
import clovermill.host.Host;
import clovermill.host.Usage;
import clovermill.net.Budget;
import clovermill.net.Clock;
import clovermill.net.Connection;
import clovermill.net.Deadlines;
import clovermill.net.ProtocolException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** One client connection; it owns its open streams and answers each of them once. */
final class FrameConnection implements Connection.Handler {

    /** What all connections of the front share. */
    record Shared(Host host, RequestReader reader, Budget budget, Clock clock, Deadlines deadlines,
            LongSupplier awayMs, BooleanSupplier ready, BooleanSupplier turningAway, IdleConnections idle,
            Consumer<FrameConnection> closed) { }

    private static final int MOST_OPEN = 32;
    /** Nothing more is read from a client that lets so much of its answers lie. */
    private static final long MOST_UNREAD = 1 << 20;
    /** A client that takes none of its answers for so long is gone, and must not keep their memory. */
    private static final long STALL_US = 10_000_000;
    /**
     * So many answers that turn away, and requests that are withdrawn, are worked on in one span; for more
     * the client waits. Guards the others against storms of repeats and of cancels.
     */
    private static final int MOST_IN_VAIN = 100;
    private static final long SPAN_US = 1_000_000;
    /** A client that has just connected is about to ask. */
    private static final long ABOUT_TO_ASK_US = 100_000;
    /** From this side's end to the close: what crosses the end comes within 50 ms, and unread it would be a reset. */
    private static final long CROSSING_US = 100_000;
    /** Where another director is to take the request, it may do so at once. */
    private static final long AT_ONCE_MS = 1;

    private final Connection connection;
    private final Shared shared;
    private final FrameParser parser;
    private final StreamNumbers used = new StreamNumbers();
    private final Map<Long, Stream> open = new HashMap<>();
    private Deadlines.Deadline stall;
    private Deadlines.Deadline frameBy;
    private Deadlines.Deadline calm;
    private Deadlines.Deadline crossing;
    private final long sinceUs;
    private long spanUs;
    private int inVain;
    private long writtenBefore;
    private boolean spoken;
    private boolean leaveAfterNext;
    private boolean closing;

    FrameConnection(Connection connection, Shared shared) {
        this.connection = connection;
        this.shared = shared;
        this.parser = new FrameParser(shared.budget, this::frame);
        this.sinceUs = shared.clock.micros();
    }

    /** A request that is open; it writes the answer. */
    private final class Stream implements Asker {
        final long number;
        final String id;
        final int bodyBytes;

        Stream(long number, String id, int bodyBytes) {
            this.number = number;
            this.id = id;
            this.bodyBytes = bodyBytes;
        }

        @Override
        public void served(Answer answer) {
            end();
            Map<String, String> fields = new TreeMap<>();
            if (answer.notModified()) {
                fields.put("notmod", "1");
            }
            if (answer.tag() != null) {
                fields.put("etag", answer.tag());
            }
            byte[] body = answer.notModified() ? new byte[0] : answer.body().bytes();
            connection.send(Frames.answer(Frames.ANSWER, number, Frames.SERVED, fields, body.length));
            ByteBuffer bytes = ByteBuffer.wrap(body);
            connection.send(bytes, () -> {
                answer.body().close();
                if (answer.receipt() != null) {
                    answer.receipt().written(bytes.position(), connection.isOpen());
                }
            });
            answered();
        }

        @Override
        public void refused(long afterMs) {
            end();
            refuse(number, afterMs);
        }

        @Override
        public void failed() {
            end();
            fail(number);
        }

        /** The one place where a stream ends and its request's bytes are given back. */
        void end() {
            if (open.remove(number, this)) {
                shared.budget.give(bodyBytes);
            }
        }
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
        return open.isEmpty() && connection.queuedBytes() == 0;
    }

    /**
     * Ends this side of a connection on which nothing taken is open, after a last look at what has come. Not to be
     * called from {@link #received}.
     */
    void endIfIdle() {
        if (idleNow()) {
            connection.readNow();
            if (connection.isOpen() && idleNow()) {
                connection.endOutput();
                crossing = shared.deadlines.add(shared.clock.micros() + CROSSING_US, connection::close);
            }
        }
    }

    private boolean idleNow() {
        return crossing == null && !closing && quiet() && !parser.midFrame() && !connection.isPaused()
                && (spoken || shared.clock.micros() >= sinceUs + ABOUT_TO_ASK_US);
    }

    /** Closes whatever is open. */
    void cutOff() {
        connection.close();
    }

    @Override
    public void received(ByteBuffer data) {
        if (crossing != null) {
            data.position(data.limit()); // sent before this side's end was seen: it is sent again elsewhere
            return;
        }
        try {
            parser.parse(data);
            if (parser.waitsForRoom()) {
                connection.pause();
                shared.budget.await(this::readOn);
            }
            boundFrame();
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
        connection.pause();
        closeIfDone();
    }

    /** Guards against frames that never end, and those that come bit by bit: each has a time to be whole. */
    private void boundFrame() {
        shared.deadlines.cancel(parser.midFrame() ? null : frameBy);
        if (!parser.midFrame()) {
            frameBy = null;
        } else if (frameBy == null) {
            frameBy = shared.deadlines.add(shared.clock.micros() + IdleConnections.SILENT_US, () -> {
                frameBy = null;
                if (parser.waitsForRoom() || calm != null) {
                    boundFrame(); // it is this side that does not read
                } else {
                    reject();
                }
            });
        }
    }

    /** Notes that nothing is owed here, or that something is. */
    private void rest() {
        if (!connection.isOpen() || !spoken) {
            return;
        }
        if (quiet() && !parser.midFrame()) {
            shared.idle.rests(this, shared.clock.micros());
        } else {
            shared.idle.busy(this);
        }
    }

    /** Ends a connection on which nothing is owed; one that is in the middle of a frame is told. */
    void letGo() {
        if (parser.midFrame()) {
            reject();
        } else {
            connection.close();
        }
    }

    /** Counts what came to nothing; from a client that brings too much of it nothing is read for a while. */
    private void inVain() {
        long nowUs = shared.clock.micros();
        if (nowUs - spanUs >= SPAN_US) {
            spanUs = nowUs;
            inVain = 0;
        }
        if (++inVain > MOST_IN_VAIN && calm == null && connection.isOpen() && !shared.turningAway.getAsBoolean()) {
            connection.pause();
            calm = shared.deadlines.add(spanUs + SPAN_US, () -> {
                calm = null;
                readOn();
            });
        }
    }

    private boolean frame(int type, long stream, ByteBuffer payload) throws ProtocolException {
        spoken = true;
        switch (type) {
            case Frames.REQUEST -> request(stream, payload);
            case Frames.GIVE_UP -> {
                Stream given = open.get(stream);
                if (given != null) {
                    given.end();
                    shared.host.clientGone(given.id);
                    inVain();
                }
            }
            case Frames.READY_QUESTION -> connection.send(Frames.answer(Frames.READY_ANSWER, stream,
                    shared.ready.getAsBoolean() ? Frames.SERVED : Frames.REFUSED, Map.of(), 0));
            default -> throw new ProtocolException("an unknown type of frame");
        }
        if (connection.queuedBytes() > MOST_UNREAD) {
            connection.pause();
            return false;
        }
        return calm == null;
    }

    private void request(long stream, ByteBuffer payload) throws ProtocolException {
        Map<String, String> fields = Frames.fields(payload);
        if (stream == 0 || open.containsKey(stream)) {
            fail(0);
            return;
        }
        if (!used.use(stream)) {
            fail(stream);
            return;
        }
        int bodyBytes = payload.remaining();
        boolean turnedAway = shared.turningAway.getAsBoolean();
        if (turnedAway || open.size() >= MOST_OPEN || !shared.budget.take(bodyBytes)) {
            refuse(stream, turnedAway ? AT_ONCE_MS : shared.awayMs.getAsLong());
            notTaken(fields);
            return;
        }
        byte[] body = new byte[bodyBytes];
        payload.get(body);
        try {
            Ask ask = shared.reader.read(fields, body);
            Stream opened = new Stream(stream, ask.id(), bodyBytes);
            open.put(stream, opened);
            if (leaveAfterNext) {
                leaveAfterNext = false;
                leave();
            }
            shared.host.submit(ask, opened);
        } catch (RequestReader.BadRequest bad) {
            shared.budget.give(bodyBytes);
            fail(stream);
        }
    }

    /** Lets whoever keeps count know of a request for which there was no place here. */
    private void notTaken(Map<String, String> fields) {
        if (shared.host.audited()) {
            try {
                shared.host.notTaken(shared.reader.read(fields, new byte[0]), Usage.End.REFUSED);
            } catch (RequestReader.BadRequest bad) {
                // what cannot be read belongs to nobody
            }
        }
    }

    private void refuse(long stream, long afterMs) {
        Map<String, String> fields = afterMs > 0 ? Map.of("after", Long.toString(afterMs)) : Map.of();
        connection.send(Frames.answer(Frames.ANSWER, stream, Frames.REFUSED, fields, 0));
        inVain();
        answered();
    }

    private void fail(long stream) {
        connection.send(Frames.answer(Frames.ANSWER, stream, Frames.FAILED, Map.of(), 0));
        inVain();
        answered();
    }

    private void answered() {
        watch();
        closeIfDone();
    }

    /** Looks again after a while, if there are answers to be read, whether any have been. */
    private void watch() {
        if (stall == null && connection.isOpen() && connection.queuedBytes() > 0) {
            writtenBefore = connection.writtenBytes();
            stall = shared.deadlines.add(shared.clock.micros() + STALL_US, this::stalled);
        }
    }

    private void stalled() {
        stall = null;
        // What counts is that nothing has moved: something may well be queued on a busy connection.
        if (connection.queuedBytes() > 0 && connection.writtenBytes() == writtenBefore) {
            connection.close();
        } else {
            watch();
        }
    }

    private void readOn() {
        if (!closing && calm == null) {
            connection.resume();
        }
    }

    @Override
    public void flushed() {
        if (!parser.waitsForRoom()) {
            readOn();
        }
        rest();
    }

    /** The client sends no more but may still read: what it asked for is answered first. */
    @Override
    public void ended() {
        closing = true;
        closeIfDone();
    }

    private void closeIfDone() {
        if (closing && open.isEmpty()) {
            connection.closeWhenFlushed();
        }
    }

    @Override
    public void closed(IOException cause) {
        shared.deadlines.cancel(stall);
        shared.deadlines.cancel(frameBy);
        shared.deadlines.cancel(calm);
        shared.deadlines.cancel(crossing);
        parser.close();
        for (Stream stream : List.copyOf(open.values())) {
            stream.end();
            shared.host.clientGone(stream.id);
        }
        shared.closed.accept(this);
    }
}
