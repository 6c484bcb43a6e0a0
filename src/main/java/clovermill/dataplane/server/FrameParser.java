package clovermill.dataplane.server;

import clovermill.runtime.net.Budget;
import clovermill.runtime.net.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;

/**
 * Incremental parser of frames: a little-endian length, a type, a stream number, and the payload. The buffer grows as
 * bytes arrive and is charged to the budget; a frame for which there is no memory can be skipped.
 */
final class FrameParser {

    /** Receives complete frames. */
    interface Sink {
        /** Handles a frame, whose payload is valid during the call. Returns false to stop parsing after this frame. */
        boolean handleFrame(int type, long stream, ByteBuffer payload) throws ProtocolException;
    }

    /** Receives the header of each skipped frame once the whole frame has arrived. */
    interface SkippedFrameListener {
        void frameSkipped(int type, long stream) throws ProtocolException;
    }

    /** Size of the length field. */
    private static final int LENGTH_BYTES = 4;
    /** Size of the type and the stream number, which the length field includes. */
    private static final int TYPE_AND_STREAM_BYTES = 5;
    private static final int HEADER_BYTES = LENGTH_BYTES + TYPE_AND_STREAM_BYTES;
    private static final int MAX_LENGTH = 262_144;
    /** Size of the part of the buffer that is not charged to the budget. */
    private static final int INITIAL_BUFFER_BYTES = 1024;

    private final Budget budget;
    private final Sink sink;
    private final SkippedFrameListener skippedFrameListener;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int filled;
    private boolean awaitsMemory;
    private boolean skipping;

    FrameParser(Budget budget, Sink sink, SkippedFrameListener skippedFrameListener) {
        this.budget = budget;
        this.sink = sink;
        this.skippedFrameListener = skippedFrameListener;
    }

    /**
     * Parses {@code data} until it is exhausted, the sink stops parsing, or the budget has no memory for a large frame.
     *
     * @throws ProtocolException if a length is out of range, or from the sink
     */
    void parse(ByteBuffer data) throws ProtocolException {
        awaitsMemory = false;
        while (data.hasRemaining()) {
            int frameBytes = filled < LENGTH_BYTES ? LENGTH_BYTES : LENGTH_BYTES + length();
            int count = Math.min(frameBytes - filled, data.remaining());
            if (skipping) {
                skip(data, count, frameBytes);
                continue;
            }
            if (!ensureCapacity(filled + count, frameBytes)) {
                awaitsMemory = true;
                return;
            }
            data.get(buffer, filled, count);
            filled += count;
            if (isComplete(frameBytes) && !emit(frameBytes)) {
                return;
            }
        }
    }

    /** Grows the buffer as bytes arrive: a length field alone must not allocate memory. */
    private boolean ensureCapacity(int needed, int frameBytes) {
        if (needed <= buffer.length) {
            return true;
        }
        int capacity = Math.min(frameBytes, Math.max(2 * buffer.length, needed));
        if (!budget.tryReserve(capacity - buffer.length)) {
            return false;
        }
        buffer = Arrays.copyOf(buffer, capacity);
        return true;
    }

    private boolean isComplete(int frameBytes) {
        return filled == frameBytes && filled > LENGTH_BYTES;
    }

    private boolean emit(int frameBytes) throws ProtocolException {
        filled = 0;
        ByteBuffer frame = ByteBuffer.wrap(buffer, LENGTH_BYTES, frameBytes - LENGTH_BYTES)
                .order(ByteOrder.LITTLE_ENDIAN);
        int type = frame.get() & 0xff;
        long stream = frame.getInt() & 0xffffffffL;
        try {
            return sink.handleFrame(type, stream, frame);
        } finally {
            releaseBuffer();
        }
    }

    /** Skips the rest of the frame that waits for memory and releases its buffer. */
    void skipFrame() {
        skipping = true;
        awaitsMemory = false;
        releaseBuffer();
    }

    /** Discards {@code count} bytes of the frame, except for its header. */
    private void skip(ByteBuffer data, int count, int frameBytes) throws ProtocolException {
        int stored = Math.max(0, Math.min(count, HEADER_BYTES - filled));
        data.get(buffer, Math.min(filled, HEADER_BYTES), stored);
        data.position(data.position() + count - stored);
        filled += count;
        if (isComplete(frameBytes)) {
            filled = 0;
            skipping = false;
            ByteBuffer header =
                    ByteBuffer.wrap(buffer, LENGTH_BYTES, TYPE_AND_STREAM_BYTES).order(ByteOrder.LITTLE_ENDIAN);
            skippedFrameListener.frameSkipped(header.get() & 0xff, header.getInt() & 0xffffffffL);
        }
    }

    /** Returns whether a frame waits until the budget has memory for it. */
    boolean awaitsMemory() {
        return awaitsMemory;
    }

    /** Returns whether a frame has been read in part. */
    boolean isMidFrame() {
        return filled > 0;
    }

    /** Returns the memory of a large frame to the budget. The header of a skipped frame stays readable. */
    void releaseBuffer() {
        int charged = buffer.length - INITIAL_BUFFER_BYTES;
        if (charged > 0) {
            buffer = Arrays.copyOf(buffer, INITIAL_BUFFER_BYTES);
            budget.release(charged);
        }
    }

    private int length() throws ProtocolException {
        int length = ByteBuffer.wrap(buffer).order(ByteOrder.LITTLE_ENDIAN).getInt();
        if (length < TYPE_AND_STREAM_BYTES || length > MAX_LENGTH) {
            throw new ProtocolException("frame length out of range: " + (length & 0xffffffffL) + " bytes");
        }
        return length;
    }
}
