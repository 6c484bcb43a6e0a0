package clovermill.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/** The bytes of one connection that wait to be written, in order, and the count of those that have been. */
final class WriteQueue {

    private record Piece(ByteBuffer bytes, Runnable done) {}

    private final ArrayDeque<Piece> pieces = new ArrayDeque<>();
    private long queuedBytes;
    private long writtenBytes;

    /** Queues bytes; {@code done} is run once, when all of them are written or never will be. */
    void add(ByteBuffer bytes, Runnable done) {
        pieces.add(new Piece(bytes, done));
        queuedBytes += bytes.remaining();
    }

    boolean isEmpty() {
        return pieces.isEmpty();
    }

    /** Bytes that wait. */
    long queuedBytes() {
        return queuedBytes;
    }

    /** Bytes that have been written since the start. */
    long writtenBytes() {
        return writtenBytes;
    }

    /** Copies what is to be written next, as much as there is room for; it stays queued until {@link #written}. */
    void copyTo(ByteBuffer buffer) {
        for (Piece piece : pieces) {
            int part = Math.min(buffer.remaining(), piece.bytes.remaining());
            buffer.put(piece.bytes.slice(piece.bytes.position(), part));
            if (!buffer.hasRemaining()) {
                return;
            }
        }
    }

    /** The socket has taken so many bytes, 0 or more. */
    void written(int count) {
        queuedBytes -= count;
        writtenBytes += count;
        int left = count;
        while (!pieces.isEmpty()) {
            ByteBuffer bytes = pieces.peek().bytes;
            int part = Math.min(left, bytes.remaining());
            bytes.position(bytes.position() + part);
            left -= part;
            if (bytes.hasRemaining()) {
                return;
            }
            pieces.poll().done.run();
        }
    }

    /** Drops what waits: it never will be written. */
    void clear() {
        queuedBytes = 0;
        while (!pieces.isEmpty()) {
            EventLoop.guarded(pieces.poll().done); // else a fault would keep the rest from hearing of it
        }
    }
}
