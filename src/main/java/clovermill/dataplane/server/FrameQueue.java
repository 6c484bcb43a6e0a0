package clovermill.dataplane.server;

import clovermill.runtime.net.Budget;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.Timeout;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;

/**
 * A queue of frames from a throttled client. Reading continues, so that cancellations and the end of the connection are
 * detected; the queue is bounded by its bytes and by the number of frames read while the client is throttled.
 */
final class FrameQueue {

    /**
     * A queued frame.
     *
     * @param arrivedUs when it arrived, in microseconds of the clock
     * @param answerByUs deadline of its request on the same clock; {@link Long#MAX_VALUE} if it has none
     */
    record Frame(int type, long stream, byte[] payload, long arrivedUs, long answerByUs) {}

    /** Enough for some hundreds of requests without a body; clients usually have at most 32 open. */
    private static final int MAX_BYTES = 1 << 16;
    /** Charged for each frame in addition to its payload. */
    private static final int FRAME_OVERHEAD_BYTES = 64;
    /** Limit of the frames read while the client is throttled, cancelled ones included, before reading pauses. */
    private static final int MAX_FRAMES_READ = 1000;

    private final Budget budget;
    private final Clock clock;
    private final Timeout expiry;
    private final Consumer<Frame> expired;
    private final ArrayDeque<Frame> frames = new ArrayDeque<>();
    private long expiryUs = Long.MAX_VALUE;
    private int bytes;
    private int framesRead;

    /** Creates an empty queue; {@code expired} gets each frame that was removed because its deadline passed. */
    FrameQueue(Budget budget, Clock clock, Deadlines deadlines, Consumer<Frame> expired) {
        this.budget = budget;
        this.clock = clock;
        this.expired = expired;
        this.expiry = new Timeout(clock, deadlines, this::expire);
    }

    private void expire() {
        for (Frame frame : List.copyOf(frames)) {
            if (frame.answerByUs() <= clock.micros() && frames.remove(frame)) {
                release(frame);
                expired.accept(frame);
            }
        }
        scheduleExpiry();
    }

    private void scheduleExpiry() {
        expiryUs = frames.stream().mapToLong(Frame::answerByUs).min().orElse(Long.MAX_VALUE);
        if (expiryUs != Long.MAX_VALUE) {
            expiry.setAt(expiryUs);
        }
    }

    /** Adds a copy of a frame, with times as in {@link Frame}; returns false if the budget has no memory for it. */
    boolean add(int type, long stream, ByteBuffer payload, long arrivedUs, long answerByUs) {
        int size = payload.remaining() + FRAME_OVERHEAD_BYTES;
        if (!budget.tryReserve(size)) {
            return false;
        }
        byte[] copy = new byte[payload.remaining()];
        payload.get(copy);
        frames.add(new Frame(type, stream, copy, arrivedUs, answerByUs));
        bytes += size;
        if (answerByUs < expiryUs) {
            expiryUs = answerByUs;
            expiry.setAt(answerByUs);
        }
        return true;
    }

    /** Counts a frame read while the client is throttled. */
    void countRead() {
        framesRead++;
    }

    /** Returns whether reading must pause. */
    boolean isFull() {
        return bytes >= MAX_BYTES || framesRead >= MAX_FRAMES_READ;
    }

    boolean isEmpty() {
        return frames.isEmpty();
    }

    /** Removes the request of a stream; returns false if none is queued. */
    boolean remove(long stream) {
        for (Iterator<Frame> each = frames.iterator(); each.hasNext();) {
            Frame frame = each.next();
            if (frame.type() == Frames.REQUEST && frame.stream() == stream) {
                each.remove();
                release(frame);
                return true;
            }
        }
        return false;
    }

    /** Removes and returns the oldest frame; returns null and resets the count of frames read if there is none. */
    Frame poll() {
        Frame next = frames.poll();
        if (next != null) {
            release(next);
        } else {
            framesRead = 0;
        }
        return next;
    }

    private void release(Frame frame) {
        int size = frame.payload().length + FRAME_OVERHEAD_BYTES;
        bytes -= size;
        budget.release(size);
    }

    /** Removes all frames. */
    void close() {
        expiry.close();
        while (poll() != null) {
            continue;
        }
    }
}
