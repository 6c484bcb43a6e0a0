package clovermill.runtime.net;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;

/**
 * Finds out when the peer's system has acknowledged everything written to one socket. The JDK does not tell the length
 * of a send queue, but a selector reports a socket as writable only while a third of its send buffer is free: with the
 * smallest buffer that the system allows, some kilobytes, that is when nothing or one small segment is unacknowledged.
 */
final class DeliveryNotice {

    private static final System.Logger LOG = System.getLogger(DeliveryNotice.class.getName());
    /** The system raises it to the smallest size that it allows. */
    private static final int SMALLEST_BUFFER_BYTES = 1;
    /** A buffer whose size was set no longer grows with the traffic, so it is left with room for a large body. */
    private static final int MIN_RESTORED_BUFFER_BYTES = 1 << 18;

    private final SocketChannel channel;
    private int restoredBufferBytes = MIN_RESTORED_BUFFER_BYTES;
    private boolean requested;
    private boolean delivered = true;

    DeliveryNotice(SocketChannel channel) {
        this.channel = channel;
    }

    /** Returns whether everything sent is known to be acknowledged; true if nothing was sent. */
    boolean isDelivered() {
        return delivered;
    }

    /** Returns whether the socket is to be selected for writing, and {@link #complete} called once it is writable. */
    boolean isRequested() {
        return requested;
    }

    /** Shrinks the send buffer, unless everything is delivered. Bytes that are in the buffer stay there. */
    void request() {
        if (delivered || requested) {
            return;
        }
        requested = true;
        try {
            restoredBufferBytes =
                    Math.max(restoredBufferBytes, channel.getOption(StandardSocketOptions.SO_SNDBUF));
            channel.setOption(StandardSocketOptions.SO_SNDBUF, SMALLEST_BUFFER_BYTES);
        } catch (IOException failure) {
            logFailure(failure);
        }
    }

    /** Cancels the request, as more is being sent. */
    void cancel() {
        delivered = false;
        restoreBuffer();
    }

    /** Returns true once for a request whose socket is writable. */
    boolean complete() {
        delivered |= requested;
        boolean completed = requested;
        restoreBuffer();
        return completed;
    }

    private void restoreBuffer() {
        if (!requested) {
            return;
        }
        requested = false;
        try {
            channel.setOption(StandardSocketOptions.SO_SNDBUF, restoredBufferBytes);
        } catch (IOException failure) {
            logFailure(failure);
        }
    }

    private static void logFailure(IOException failure) {
        LOG.log(Level.DEBUG, "the send buffer could not be set: {0}", failure.getMessage());
    }
}
