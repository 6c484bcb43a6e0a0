package clovermill.runtime.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.util.ArrayDeque;

/** The bytes of one connection that are queued for writing, in order, and the count of those written. */
final class WriteQueue {

    private record Piece(ByteBuffer bytes, int length, Runnable done) {

        boolean isUntouched() {
            return bytes.remaining() == length;
        }
    }

    private final ArrayDeque<Piece> pieces = new ArrayDeque<>();
    private long queuedBytes;
    private long writtenBytes;

    /** Queues bytes; {@code done} is run once, when all of them are written or the queue is cleared. */
    void add(ByteBuffer bytes, Runnable done) {
        pieces.add(new Piece(bytes, bytes.remaining(), done));
        queuedBytes += bytes.remaining();
    }

    boolean isEmpty() {
        return pieces.isEmpty();
    }

    /** Returns the number of bytes queued and not written. */
    long queuedBytes() {
        return queuedBytes;
    }

    /** Returns the number of bytes written since the queue was created. */
    long writtenBytes() {
        return writtenBytes;
    }

    /** Writes until the channel accepts no more, the queue is empty or {@code maxBytes} are exceeded. */
    void writeTo(WritableByteChannel channel, ByteBuffer scratch, int maxBytes) throws IOException {
        int total = 0;
        while (total < maxBytes && !pieces.isEmpty()) {
            copyTo(scratch.clear());
            int offered = scratch.flip().remaining();
            int count = TransferCount.write(channel, scratch);
            total += count;
            written(count);
            if (count < offered) {
                return;
            }
        }
    }

    /** Copies the next bytes, as many as fit; they stay queued until {@link #written}. */
    void copyTo(ByteBuffer buffer) {
        for (Piece piece : pieces) {
            int count = Math.min(buffer.remaining(), piece.bytes.remaining());
            buffer.put(piece.bytes.slice(piece.bytes.position(), count));
            if (!buffer.hasRemaining()) {
                return;
            }
        }
    }

    /** Removes {@code count} bytes that were written to the socket, and runs the callbacks of completed pieces. */
    void written(int count) {
        queuedBytes -= count;
        writtenBytes += count;
        int remaining = count;
        while (!pieces.isEmpty()) {
            ByteBuffer bytes = pieces.peek().bytes;
            int part = Math.min(remaining, bytes.remaining());
            bytes.position(bytes.position() + part);
            remaining -= part;
            if (bytes.hasRemaining()) {
                return;
            }
            pieces.poll().done.run();
        }
    }

    /**
     * Removes {@code first} and everything queued after it, unless a byte of {@code first} has been written. The
     * callbacks of removed pieces are not run.
     *
     * @return true if {@code first} was removed
     */
    boolean retractFrom(ByteBuffer first) {
        boolean found = false;
        for (Piece piece : pieces) {
            found |= piece.bytes == first && piece.isUntouched();
        }
        while (found) {
            Piece last = pieces.pollLast();
            queuedBytes -= last.length;
            if (last.bytes == first) {
                return true;
            }
        }
        return false;
    }

    /** Discards everything queued and runs its callbacks. */
    void clear() {
        queuedBytes = 0;
        while (!pieces.isEmpty()) {
            Callbacks.runGuarded(pieces.poll().done); // a fault must not skip the other callbacks
        }
    }
}
