package clovermill.runtime.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/**
 * One TCP connection of the event loop. It owns its channel and the bytes queued for writing, and releases both in
 * {@link #close}, whichever side closes the connection. All calls are made on the loop's thread.
 */
public final class Connection {

    private static final Runnable NO_CALLBACK = () -> {};
    /** Bytes that one connection may write in one turn: a large answer must not delay the other connections. */
    private static final int MAX_WRITE_BYTES_PER_TURN = 1 << 18;
    /** The second read detects a close that follows a request before anything is sent for that request. */
    private static final int ACCEPTED_READS_PER_TURN = 2;
    private static final int DIALED_READS_PER_TURN = 1;

    private final EventLoop loop;
    private final SocketChannel channel;
    private final SelectionKey key;
    private final Listener acceptedBy;
    private final ConnectionInput input;
    private final WriteQueue output = new WriteQueue();
    private final DeliveryNotice deliveryNotice;
    private ConnectionHandler handler;
    private boolean connecting;
    private boolean open = true;
    private boolean flushScheduled;
    /** True if the socket accepted no bytes and everything was retracted: flushed again when it is writable. */
    private boolean flushWhenWritable;
    private boolean closeWhenFlushed;

    /** Creates a connection; {@code acceptedBy} is the listener that accepted it, null for a dialed connection. */
    Connection(EventLoop loop, SocketChannel channel, SelectionKey key, boolean connecting, Listener acceptedBy) {
        this.loop = loop;
        this.channel = channel;
        this.key = key;
        this.connecting = connecting;
        this.acceptedBy = acceptedBy;
        this.deliveryNotice = new DeliveryNotice(channel);
        this.input = new ConnectionInput(channel,
                acceptedBy != null ? ACCEPTED_READS_PER_TURN : DIALED_READS_PER_TURN);
    }

    /** Sets the handler and starts waiting for events. */
    void start(ConnectionHandler newHandler) {
        handler = newHandler;
        input.setHandler(newHandler);
        updateInterest();
    }

    /** Returns true if it is served ahead of other connections in each turn. */
    boolean hasPriority() {
        return acceptedBy != null && acceptedBy.hasPriority();
    }

    /** Returns true until it is closed. */
    public boolean isOpen() {
        return open;
    }

    /** Returns the number of bytes queued but not yet written to the socket. */
    public long queuedBytes() {
        return output.queuedBytes();
    }

    /** Returns the number of bytes written to the socket since the connection was established. */
    public long writtenBytes() {
        return output.writtenBytes();
    }

    /** Queues bytes for writing at the end of this turn. */
    public void send(ByteBuffer bytes) {
        send(bytes, NO_CALLBACK);
    }

    /**
     * As {@link #send(ByteBuffer)}; {@code done} is run once, when all bytes are written or the connection is closed.
     */
    public void send(ByteBuffer bytes, Runnable done) {
        if (!open) {
            done.run();
            return;
        }
        deliveryNotice.cancel();
        output.add(bytes, done);
        requestFlush();
    }

    /**
     * Returns whether the peer's system is known to have acknowledged everything sent. Until it has, a close may lose
     * it: if the peer sends more, the system resets the connection and discards what is unacknowledged.
     */
    public boolean isDelivered() {
        return deliveryNotice.isDelivered();
    }

    /**
     * Requests one call of {@link ConnectionHandler#delivered} as soon as everything sent is acknowledged; a further
     * send cancels the request. To be used before {@link #endOutput}, as a socket is always selected as writable after
     * that; has no effect if {@link #isDelivered}.
     */
    public void requestDeliveryNotice() {
        if (open) {
            deliveryNotice.request();
            updateInterest();
        }
    }

    /**
     * Removes {@code first} and everything sent after it, unless a byte of {@code first} has been written.
     * {@link ConnectionHandler#flushing} is called once the socket is writable.
     *
     * @return true if the bytes were removed
     */
    public boolean retractFrom(ByteBuffer first) {
        boolean retracted = output.retractFrom(first);
        flushWhenWritable |= retracted;
        return retracted;
    }

    /** Returns true if everything sent has been written and the socket is not known to be full. */
    public boolean isWriteIdle() {
        return output.isEmpty() && !flushWhenWritable;
    }

    /** Stops reading until {@link #resume}. */
    public void pause() {
        input.pause();
        updateInterest();
    }

    /**
     * Resumes reading: what has arrived meanwhile is delivered at the end of this turn, bytes that were left unread
     * first.
     */
    public void resume() {
        if (open && input.isPaused()) {
            input.resume();
            loop.scheduleDelivery(this);
            updateInterest();
        }
    }

    /** Returns true if reading has stopped until {@link #resume}. */
    public boolean isPaused() {
        return input.isPaused();
    }

    /** Schedules a call of {@link ConnectionHandler#flushing} at the end of this turn. */
    public void requestFlush() {
        if (open && !flushScheduled) {
            flushScheduled = true;
            loop.scheduleFlush(this);
        }
    }

    /**
     * Delivers everything that has arrived so far, bytes that were left unread first, unless reading is paused. Must
     * not be called from {@link ConnectionHandler#received}.
     */
    public void readNow() {
        deliverArrived(true);
    }

    /** Delivers what has arrived before reading was resumed, unless that has been done. */
    void deliverResumed() {
        deliverArrived(input.awaitsRead());
    }

    private void deliverArrived(boolean readSocket) {
        if (!open) {
            return;
        }
        try {
            input.deliverUnread();
            if (readSocket && open && !connecting) {
                input.read(loop.readBuffer());
            }
            updateInterest();
        } catch (IOException failure) {
            close(failure);
        }
    }

    /** Closes this side's output; the peer may still send, until {@link #close}. */
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

    /** Reports a dial that completed at once. */
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
            boolean delivery = deliveryNotice.isRequested() && output.isEmpty() && key.isWritable();
            if (connecting && key.isConnectable()) {
                finishConnect();
            }
            if (open && key.isReadable()) {
                input.read(loop.readBuffer());
            }
            if (open && delivery && deliveryNotice.complete()) {
                handler.delivered();
            } else if (open && key.isWritable()) {
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

    /** Writes as much as the socket accepts, up to the limit of one turn. */
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
            int writeInterest = isWriteIdle() && !deliveryNotice.isRequested() ? 0 : SelectionKey.OP_WRITE;
            key.interestOps(readInterest | writeInterest);
        }
    }
}
