package clovermill.runtime.net;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;

/**
 * The system's send buffer of one socket, which can be shrunk so that a selector tells when the peer's system has
 * acknowledged everything written. A socket is selected as writable only while a third of its send buffer is free; with the
 * smallest buffer that the system allows, some kilobytes, nothing or one small segment is unacknowledged then. Once the
 * output was shut down a socket is always selected as writable.
 */
final class SendBuffer {

    private static final System.Logger LOG = System.getLogger(SendBuffer.class.getName());
    /** The system raises it to the smallest size that it allows. */
    private static final int SMALLEST_BYTES = 1;
    /** A buffer whose size was set no longer grows with the traffic, so it is left with room for a large body. */
    private static final int MIN_RESTORED_BYTES = 1 << 18;

    private final SocketChannel channel;
    private int restoredBytes = MIN_RESTORED_BYTES;

    SendBuffer(SocketChannel channel) {
        this.channel = channel;
    }

    /** Sets the smallest size; bytes that are in the buffer stay there. */
    void shrink() {
        try {
            restoredBytes = Math.max(restoredBytes, channel.getOption(StandardSocketOptions.SO_SNDBUF));
            channel.setOption(StandardSocketOptions.SO_SNDBUF, SMALLEST_BYTES);
        } catch (IOException failure) {
            logFailure(failure);
        }
    }

    /** Sets the size that it had before {@link #shrink}, or more. */
    void restore() {
        try {
            channel.setOption(StandardSocketOptions.SO_SNDBUF, restoredBytes);
        } catch (IOException failure) {
            logFailure(failure);
        }
    }

    private static void logFailure(IOException failure) {
        LOG.log(Level.DEBUG, "the send buffer could not be set: {0}", failure.getMessage());
    }
}
