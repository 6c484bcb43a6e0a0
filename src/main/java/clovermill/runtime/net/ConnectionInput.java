package clovermill.runtime.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;

/**
 * The reading side of a connection. Bytes that the handler leaves unread are copied and delivered again, before any
 * newer ones, after reading has been resumed.
 */
final class ConnectionInput {

    private final ReadableByteChannel channel;
    private final int maxReadsPerTurn;
    private ConnectionHandler handler;
    /** Bytes read but not consumed by the handler, null if there are none. */
    private ByteBuffer unread;
    private boolean paused;
    /** True from a resume until the next read of the socket. */
    private boolean awaitsRead;
    private boolean ended;
    private boolean closed;

    ConnectionInput(ReadableByteChannel channel, int maxReadsPerTurn) {
        this.channel = channel;
        this.maxReadsPerTurn = maxReadsPerTurn;
    }

    void setHandler(ConnectionHandler newHandler) {
        handler = newHandler;
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        awaitsRead = true;
    }

    /** Returns true if the socket was not read since reading was resumed. */
    boolean awaitsRead() {
        return awaitsRead;
    }

    boolean isPaused() {
        return paused;
    }

    boolean hasUnread() {
        return unread != null;
    }

    /** Returns true if the socket may be read now. */
    boolean isReadable() {
        return !closed && !paused && !ended && unread == null;
    }

    /** Reads and delivers received bytes, with a bounded number of reads, unless older bytes are still unread. */
    void read(ByteBuffer buffer) throws IOException {
        for (int i = 0; i < maxReadsPerTurn && isReadable(); i++) {
            awaitsRead = false;
            int count = TransferCount.read(channel, buffer.clear());
            if (count == TransferCount.END_OF_STREAM) {
                ended = true;
                handler.ended();
            } else if (count > 0) {
                deliver(buffer.flip());
            } else {
                handler.caughtUp();
                return;
            }
        }
    }

    /** Delivers the bytes that were left unread, unless reading is paused. */
    void deliverUnread() throws IOException {
        ByteBuffer data = unread;
        if (data != null && !paused) {
            unread = null;
            deliver(data);
        }
    }

    private void deliver(ByteBuffer data) throws IOException {
        handler.received(data);
        if (!closed && data.hasRemaining()) {
            unread = ByteBuffer.allocate(data.remaining()).put(data).flip();
            paused = true;
        }
    }

    /** Discards the unread bytes; nothing is delivered any more. */
    void close() {
        closed = true;
        unread = null;
    }
}
