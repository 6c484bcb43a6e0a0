package clovermill.runtime.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;

/**
 * Reads and writes that retry interrupted calls. On Java 17 a non-blocking socket call that a signal interrupts (EINTR)
 * returns -3, {@code sun.nio.ch.IOStatus.INTERRUPTED}, which the channel's documentation does not mention. Nothing has
 * been transferred then, and the call is repeated at once, so that a last read before a close misses no bytes. Only -1
 * is the end of the stream.
 */
final class TransferCount {

    /** The peer has closed its output. */
    static final int END_OF_STREAM = -1;
    /** Maximum calls in a row; after that the next selection reports the socket as ready again. */
    private static final int MAX_ATTEMPTS = 16;

    private TransferCount() {}

    /** Returns the bytes read, 0 if there are none now, or {@link #END_OF_STREAM}. */
    static int read(ReadableByteChannel channel, ByteBuffer buffer) throws IOException {
        int count = channel.read(buffer);
        for (int attempts = 1; count < END_OF_STREAM && attempts < MAX_ATTEMPTS; attempts++) {
            count = channel.read(buffer);
        }
        return count == END_OF_STREAM ? END_OF_STREAM : Math.max(0, count);
    }

    /** Returns the bytes written, 0 if the channel accepts none now. */
    static int write(WritableByteChannel channel, ByteBuffer buffer) throws IOException {
        int count = channel.write(buffer);
        for (int attempts = 1; count < 0 && attempts < MAX_ATTEMPTS; attempts++) {
            count = channel.write(buffer);
        }
        return Math.max(0, count);
    }
}
