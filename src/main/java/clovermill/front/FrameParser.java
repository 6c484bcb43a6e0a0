package clovermill.front;

import clovermill.net.Budget;
import clovermill.net.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;

/** Reads frames: a little-endian length, a type, a stream, and the payload. */
final class FrameParser {

    /** Where whole frames go; false stops the parser after this one. */
    interface Sink {
        boolean frame(int type, long stream, ByteBuffer payload) throws ProtocolException;
    }

    /** Hears of a frame that was passed over, once all of it has come. */
    interface Skipped {
        void skipped(int type, long stream) throws ProtocolException;
    }

    private static final int HEAD = 4;
    private static final int LEAST = 5;
    /** Length, type and stream. */
    private static final int KEPT_OF_SKIPPED = HEAD + LEAST;
    private static final int MOST = 262_144;
    private static final int FIRST_ROOM = 1024;

    private final Budget budget;
    private final Sink sink;
    private final Skipped skipped;
    private byte[] frame = new byte[FIRST_ROOM];
    private int filled;
    private boolean waitsForRoom;
    private boolean skipping;

    FrameParser(Budget budget, Sink sink, Skipped skipped) {
        this.budget = budget;
        this.sink = sink;
        this.skipped = skipped;
    }

    /**
     * Reads all of {@code data}, or up to the frame after which the sink wants no more, or to where the
     * budget has no room for a large frame.
     */
    void parse(ByteBuffer data) throws ProtocolException {
        waitsForRoom = false;
        while (data.hasRemaining()) {
            int whole = HEAD;
            if (filled >= HEAD) {
                whole += length();
            }
            int part = Math.min(whole - filled, data.remaining());
            if (skipping) {
                skip(data, part, whole);
                continue;
            }
            if (filled + part > frame.length) {
                // Grows with what has really come: a length alone must not take memory.
                int room = Math.min(whole, Math.max(2 * frame.length, filled + part));
                if (!budget.take(room - frame.length)) {
                    waitsForRoom = true;
                    return;
                }
                frame = Arrays.copyOf(frame, room);
            }
            data.get(frame, filled, part);
            filled += part;
            if (filled == whole && filled > HEAD) {
                filled = 0;
                ByteBuffer read = ByteBuffer.wrap(frame, HEAD, whole - HEAD).order(ByteOrder.LITTLE_ENDIAN);
                int type = read.get() & 0xff;
                long stream = read.getInt() & 0xffffffffL;
                boolean more = sink.frame(type, stream, read);
                close();
                if (!more) {
                    return;
                }
            }
        }
    }

    /** Gives the frame up that waits for room: its rest is passed over, and its room given back. */
    void skipFrame() {
        skipping = true;
        waitsForRoom = false;
        close();
    }

    private void skip(ByteBuffer data, int part, int whole) throws ProtocolException {
        int kept = Math.max(0, Math.min(part, KEPT_OF_SKIPPED - filled));
        data.get(frame, Math.min(filled, KEPT_OF_SKIPPED), kept);
        data.position(data.position() + part - kept);
        filled += part;
        if (filled == whole && filled > HEAD) {
            filled = 0;
            skipping = false;
            ByteBuffer head = ByteBuffer.wrap(frame, HEAD, LEAST).order(ByteOrder.LITTLE_ENDIAN);
            skipped.skipped(head.get() & 0xff, head.getInt() & 0xffffffffL);
        }
    }

    /** True while a frame waits for room in the budget. */
    boolean waitsForRoom() {
        return waitsForRoom;
    }

    /** Whether a part of a frame has been read. */
    boolean midFrame() {
        return filled > 0;
    }

    /** The one place where the room of a large frame is given back. */
    void close() {
        int taken = frame.length - FIRST_ROOM;
        if (taken > 0) {
            frame = Arrays.copyOf(frame, FIRST_ROOM); // the head of a frame that is passed over is still needed
            budget.give(taken);
        }
    }

    private int length() throws ProtocolException {
        int length = ByteBuffer.wrap(frame).order(ByteOrder.LITTLE_ENDIAN).getInt();
        if (length < LEAST || length > MOST) {
            throw new ProtocolException("a frame of " + (length & 0xffffffffL) + " bytes");
        }
        return length;
    }
}
