package clovermill.front;

import clovermill.net.Budget;
import clovermill.net.Clock;
import clovermill.net.Deadlines;
import clovermill.net.Timeout;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;

/**
 * Frames of a client that is not worked on for a while, in their order. They are read all the same, so that its end and
 * what it calls off are seen behind them; once they are many no more is to be read.
 */
final class HeldFrames {

    /**
     * One frame, as it came; both times in microseconds of the clock, the second that by which it is to be answered.
     */
    record Frame(int type, long stream, byte[] payload, long arrivedMicros, long answerByMicros) {}

    /** What may be held: some hundreds of requests without a body, of which a usual client has 32 open at most. */
    private static final int MOST_BYTES = 1 << 16;
    /** What a frame takes beside its bytes. */
    private static final int FRAME_BYTES = 64;
    /** So many frames are read while a client is not worked on: what is read and called off must not go on for ever. */
    private static final int MOST_SEEN = 1000;

    private final Budget budget;
    private final Clock clock;
    private final Timeout overdue;
    private final Consumer<Frame> expired;
    private final ArrayDeque<Frame> frames = new ArrayDeque<>();
    private long nextMicros = Long.MAX_VALUE;
    private int bytes;
    private int seen;

    /** {@code expired} gets each frame that has to be answered while it is held; it is no longer held then. */
    HeldFrames(Budget budget, Clock clock, Deadlines deadlines, Consumer<Frame> expired) {
        this.budget = budget;
        this.clock = clock;
        this.expired = expired;
        this.overdue = new Timeout(clock, deadlines, this::expire);
    }

    private void expire() {
        for (Frame each : List.copyOf(frames)) {
            if (each.answerByMicros() <= clock.micros() && frames.remove(each)) {
                give(each);
                expired.accept(each);
            }
        }
        watch();
    }

    /** Wakes up for the frame that is to be answered first. */
    private void watch() {
        long firstMicros = frames.stream().mapToLong(Frame::answerByMicros).min().orElse(Long.MAX_VALUE);
        nextMicros = firstMicros;
        if (firstMicros != Long.MAX_VALUE) {
            overdue.setAt(firstMicros);
        }
    }

    /** Holds a frame, unless there is no room for it in the budget; both times as in {@link Frame}. */
    boolean add(int type, long stream, ByteBuffer payload, long arrivedMicros, long answerByMicros) {
        int size = payload.remaining() + FRAME_BYTES;
        if (!budget.take(size)) {
            return false;
        }
        byte[] copy = new byte[payload.remaining()];
        payload.get(copy);
        frames.add(new Frame(type, stream, copy, arrivedMicros, answerByMicros));
        bytes += size;
        if (answerByMicros < nextMicros) {
            nextMicros = answerByMicros;
            overdue.setAt(answerByMicros);
        }
        return true;
    }

    /** One more frame was read while the client was not worked on. */
    void saw() {
        seen++;
    }

    /** Whether no more is to be read. */
    boolean full() {
        return bytes >= MOST_BYTES || seen >= MOST_SEEN;
    }

    boolean isEmpty() {
        return frames.isEmpty();
    }

    /** Drops the request on that stream; whether there was one. */
    boolean withdraw(long stream) {
        for (Iterator<Frame> each = frames.iterator(); each.hasNext();) {
            Frame frame = each.next();
            if (frame.type() == Frames.REQUEST && frame.stream() == stream) {
                each.remove();
                give(frame);
                return true;
            }
        }
        return false;
    }

    /** The next one, or null; with the last one counting begins anew. */
    Frame poll() {
        Frame next = frames.poll();
        if (next != null) {
            give(next);
        } else {
            seen = 0;
        }
        return next;
    }

    private void give(Frame frame) {
        int size = frame.payload().length + FRAME_BYTES;
        bytes -= size;
        budget.give(size);
    }

    void close() {
        overdue.close();
        while (poll() != null) {
            continue;
        }
    }
}
