package clovermill.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;

/**
 * The one place that says what the count of a non-blocking read or write means. On Java 17 a call that a signal
 * interrupts
 * (EINTR) returns -3 from a socket channel, {@code sun.nio.ch.IOStatus.INTERRUPTED}, though the channel's documentation
 * knows -1 and counts from 0 up only. Nothing has been transferred then, and the call is made again at once: who
 * looks for
 * bytes before a close must not miss them. Only -1 is the end of a stream.
 */
final class TransferCount {

    /** The peer sends no more. */
    static final int END_OF_STREAM = -1;
    /** So often in a row is a call made; after that the socket is found ready again by the next selection. */
    private static final int MAX_CALLS = 16;

    private TransferCount() {}

    /** Bytes read, 0 where there are none now, or {@link #END_OF_STREAM}. */
    static int read(ReadableByteChannel channel, ByteBuffer buffer) throws IOException {
        int count = channel.read(buffer);
        for (int calls = 1; count < END_OF_STREAM && calls < MAX_CALLS; calls++) {
            count = channel.read(buffer);
        }
        return count == END_OF_STREAM ? END_OF_STREAM : Math.max(0, count);
    }

    /** Bytes written, 0 where the channel takes none now. */
    static int write(WritableByteChannel channel, ByteBuffer buffer) throws IOException {
        int count = channel.write(buffer);
        for (int calls = 1; count < 0 && calls < MAX_CALLS; calls++) {
            count = channel.write(buffer);
        }
        return Math.max(0, count);
    }
}
