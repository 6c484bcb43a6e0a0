package clovermill.runtime.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/**
 * One TCP connection of the event loop. It owns its channel and the bytes queued for writing, and releases both in
 * {@link #close}, whoever ends it. All calls are made on the loop's thread.
 */
public final class Connection {

    /** Follows a connection for its owner. No call is made after {@link #closed}. */
    public interface Handler {

        /** An outgoing connection has been established. */
        default void connected() {}

        /**
         * Bytes have arrived. If the handler leaves bytes in the buffer, reading stops until {@link Connection#resume},
         * and they are handed over again then.
         */
        void received(ByteBuffer data) throws IOException;

        /** The peer has ended its output; it may still read. */
        void ended();

        /** Queued bytes are about to be written: the last moment to withdraw a request in this turn. */
        default void flushing() {}

        /** All queued bytes have been written to the socket. */
        default void flushed() {}

        /** Queued bytes are left after a write; {@link Connection#retractFrom} may take untouched ones back. */
        default void writeBlocked() {}

        /** The connection is closed, for {@code cause}, which is null if this side closed it. */
        void closed(IOException cause);
    }

    private static final Runnable NO_CALLBACK = () -> {};
    /** Bytes that one connection may write in one turn: a large answer must not delay the other connections. */
    private static final int MAX_WRITE_BYTES_PER_TURN = 1 << 18;
    /** The second read sees an end that follows a request before anything is sent for that request. */
    private static final int ACCEPTED_READS_PER_TURN = 2;
    private static final int DIALLED_READS_PER_TURN = 1;

    private final EventLoop loop;
    private final SocketChannel channel;
    private final SelectionKey key;
    private final Listener acceptedBy;
    private final ConnectionInput input;
    private final WriteQueue output = new WriteQueue();
    private Handler handler;
    private boolean connecting;
    private boolean open = true;
    private boolean flushScheduled;
    /** The socket took nothing, and everything was retracted: flushed again when it is writable. */
    private boolean flushWhenWritable;
    private boolean closeWhenFlushed;

    /** {@code acceptedBy} is the listener that accepted it, null for a dialled connection. */
    Connection(EventLoop loop, SocketChannel channel, SelectionKey key, boolean connecting, Listener acceptedBy) {
        this.loop = loop;
        this.channel = channel;
        this.key = key;
        this.connecting = connecting;
        this.acceptedBy = acceptedBy;
        this.input = new ConnectionInput(channel,
                acceptedBy != null ? ACCEPTED_READS_PER_TURN : DIALLED_READS_PER_TURN);
    }

    /** Sets the handler and begins to wait for events. */
    void start(Handler newHandler) {
        handler = newHandler;
        input.setHandler(newHandler);
        updateInterest();
    }

    /** Whether it is served ahead of other connections in each turn. */
    boolean hasPriority() {
        return acceptedBy != null && acceptedBy.hasPriority();
    }

    /** Whether it has not been closed. */
    public boolean isOpen() {
        return open;
    }

    /** Bytes that were sent here and are not yet written to the socket. */
    public long queuedBytes() {
        return output.queuedBytes();
    }

    /** Bytes written to the socket since the connection was established. */
    public long writtenBytes() {
        return output.writtenBytes();
    }

    /** Queues bytes for writing at the end of this turn. */
    public void send(ByteBuffer bytes) {
        send(bytes, NO_CALLBACK);
    }

    /** As {@link #send(ByteBuffer)}; {@code done} is run once, when all bytes are written or never will be. */
    public void send(ByteBuffer bytes, Runnable done) {
        if (!open) {
            done.run();
            return;
        }
        output.add(bytes, done);
        requestFlush();
    }

    /**
     * Takes back {@code first} and everything sent behind it, unless a byte of {@code first} has been written; returns
     * whether it did. {@link Handler#flushing} is called once the socket is writable.
     */
    public boolean retractFrom(ByteBuffer first) {
        boolean retracted = output.retractFrom(first);
        flushWhenWritable |= retracted;
        return retracted;
    }

    /** Whether everything sent has been written, and the socket is not known to be full. */
    public boolean isWriteIdle() {
        return output.isEmpty() && !flushWhenWritable;
    }

    /** Stops reading until {@link #resume}. */
    public void pause() {
        input.pause();
        updateInterest();
    }

    /** Resumes reading; bytes that were left unread are handed over first, at the end of this turn. */
    public void resume() {
        if (open && input.isPaused()) {
            input.resume();
            if (input.hasUnread()) {
                loop.scheduleDelivery(this);
            }
            updateInterest();
        }
    }

    /** Whether reading has stopped until {@link #resume}. */
    public boolean isPaused() {
        return input.isPaused();
    }

    /** Has {@link Handler#flushing} called at the end of this turn. */
    public void requestFlush() {
        if (open && !flushScheduled) {
            flushScheduled = true;
            loop.scheduleFlush(this);
        }
    }

    /**
     * Hands over everything that has arrived so far, bytes that were left unread first, unless reading is paused. Not
     * to be called from {@link Handler#received}.
     */
    public void readNow() {
        deliverUnread();
        if (open && !connecting) {
            try {
                input.read(loop.readBuffer());
                updateInterest();
            } catch (IOException failure) {
                close(failure);
            }
        }
    }

    /** Ends this side's output; the peer may still send, until {@link #close}. */
    public void endOutput() {
        if (open) {
            try {
                channel.shutdownOutput();
            } catch (IOException failure) {
                close(failure);
            }
        }
    }

    /** Closes as soon as everything sent is written. */
    public void closeWhenFlushed() {
        closeWhenFlushed = true;
        requestFlush();
    }

    /** Closes now. */
    public void close() {
        close(null);
    }

    private void close(IOException cause) {
        if (!open) {
            return;
        }
        open = false;
        Sockets.release(channel, acceptedBy);
        input.close();
        output.clear();
        handler.closed(cause);
    }

    /** Reports a dial that was finished at once. */
    void reportConnected() {
        if (open) {
            handler.connected();
        }
    }

    /** Serves the operations for which a selection found the socket ready. */
    void serveReady() {
        if (!open) {
            return; // closed by another connection's callback after the selection
        }
        try {
            if (connecting && key.isConnectable()) {
                finishConnect();
            }
            if (open && key.isReadable()) {
                input.read(loop.readBuffer());
            }
            if (open && key.isWritable()) {
                requestFlush();
            }
            updateInterest();
        } catch (IOException failure) {
            close(failure);
        }
    }

    private void finishConnect() throws IOException {
        if (channel.finishConnect()) { // false if a signal interrupted the call
            connecting = false;
            requestFlush();
            handler.connected();
        }
    }

    /** Hands over bytes that were left unread, unless reading is paused. */
    void deliverUnread() {
        if (!open) {
            return;
        }
        try {
            input.deliverUnread();
            updateInterest();
        } catch (IOException failure) {
            close(failure);
        }
    }

    /** Writes what the socket accepts, up to the bound of one turn. */
    void flush() {
        if (!open || connecting) {
            flushScheduled = false;
            return;
        }
        try {
            handler.flushing();
            flushScheduled = false;
            flushWhenWritable = false;
            boolean hadOutput = !output.isEmpty();
            output.writeTo(channel, loop.writeBuffer(), MAX_WRITE_BYTES_PER_TURN);
            if (output.isEmpty() && closeWhenFlushed) {
                close();
            } else if (open) {
                if (!output.isEmpty()) {
                    handler.writeBlocked();
                } else if (hadOutput) {
                    handler.flushed();
                }
                updateInterest();
            }
        } catch (IOException failure) {
            close(failure);
        }
    }

    private void updateInterest() {
        if (open && connecting) {
            key.interestOps(SelectionKey.OP_CONNECT);
        } else if (open) {
            int readInterest = input.isReadable() ? SelectionKey.OP_READ : 0;
            int writeInterest = isWriteIdle() ? 0 : SelectionKey.OP_WRITE;
            key.interestOps(readInterest | writeInterest);
        }
    }
}
