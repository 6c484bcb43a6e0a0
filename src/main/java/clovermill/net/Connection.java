package clovermill.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/**
 * One TCP connection of the event loop. It owns its channel and what waits to be written, and gives both
 * back in {@link #close}, whoever ends it.
 */
public final class Connection {

    /** What the owner of a connection is told. No call is made after {@link #closed}. */
    public interface Handler {

        /** An outgoing connection has come up. */
        default void connected() {}

        /**
         * Bytes have arrived. What is left in the buffer is kept, and nothing more is read, until {@link
         * Connection#resume}.
         */
        void received(ByteBuffer data) throws IOException;

        /** The peer sends no more; it may still read. */
        void ended();

        /** What was sent is about to be written: the last moment for what may still be called off in this turn. */
        default void flushing() {}

        /** All that was sent has been written to the socket. */
        default void flushed() {}

        /** The connection is no more, for {@code cause}, which is null where this side closed it. */
        void closed(IOException cause);
    }

    private static final Runnable NOTHING = () -> {};
    /** What one connection may write in one turn: a big answer must not hold up the others. */
    private static final int TURN_BYTES = 1 << 18;
    /**
     * An accepted connection is read so often in one turn: what came behind a request, an end above all, is seen before
     * anything is sent on for it, however long both have lain there.
     */
    private static final int TURN_READS = 2;

    private final EventLoop loop;
    private final SocketChannel channel;
    private final SelectionKey key;
    private final Listener acceptedBy;
    private final int reads;
    private final WriteQueue out = new WriteQueue();
    private Handler handler;
    private ByteBuffer kept;
    private boolean connecting;
    private boolean open = true;
    private boolean paused;
    private boolean ended;
    private boolean dirty;
    private boolean closeWhenFlushed;

    /** {@code acceptedBy} is the listener that took it in, null for a connection that is dialled. */
    Connection(EventLoop loop, SocketChannel channel, SelectionKey key, boolean connecting, Listener acceptedBy) {
        this.acceptedBy = acceptedBy;
        this.reads = acceptedBy != null ? TURN_READS : 1;
        this.loop = loop;
        this.channel = channel;
        this.key = key;
        this.connecting = connecting;
    }

    void handler(Handler given) {
        handler = given;
        interest();
    }

    /** Whether it is served ahead of all others in each turn. */
    boolean first() {
        return acceptedBy != null && acceptedBy.first();
    }

    public boolean isOpen() {
        return open;
    }

    /** Bytes that have been sent here and are not yet written to the socket. */
    public long queuedBytes() {
        return out.queuedBytes();
    }

    /** Bytes that have been written to the socket since it came up. */
    public long writtenBytes() {
        return out.writtenBytes();
    }

    /** Queues bytes for writing at the end of this turn. */
    public void send(ByteBuffer bytes) {
        send(bytes, NOTHING);
    }

    /** As {@link #send(ByteBuffer)}; {@code done} is run once, when all is written or never will be. */
    public void send(ByteBuffer bytes, Runnable done) {
        if (!open) {
            done.run();
            return;
        }
        out.add(bytes, done);
        markDirty();
    }

    /** Stops reading until {@link #resume}. */
    public void pause() {
        paused = true;
        interest();
    }

    /** Reads on, from what was kept first. */
    public void resume() {
        if (open && paused) {
            paused = false;
            if (kept != null) {
                loop.soon(this);
            }
            interest();
        }
    }

    /** Has {@link Handler#flushing} called at the end of this turn. */
    public void flushSoon() {
        markDirty();
    }

    /** Whether reading has stopped until {@link #resume}. */
    public boolean isPaused() {
        return paused;
    }

    /** Hands over what has come up to now, unless reading is paused. Not to be called from {@link Handler#received}. */
    public void readNow() {
        if (open && !connecting && !paused && !ended) {
            try {
                read();
                interest();
            } catch (IOException failure) {
                close(failure);
            }
        }
    }

    /** Ends this side after what has been written; the peer may still send, until {@link #close}. */
    public void endOutput() {
        if (open) {
            try {
                channel.shutdownOutput();
            } catch (IOException failure) {
                close(failure);
            }
        }
    }

    /** Closes as soon as all that was sent is written. */
    public void closeWhenFlushed() {
        closeWhenFlushed = true;
        markDirty();
    }

    /** Closes now. */
    public void close() {
        close(null);
    }

    private void markDirty() {
        if (open && !dirty) {
            dirty = true;
            loop.dirty(this);
        }
    }

    /** The one place where a connection is given back. */
    private void close(IOException cause) {
        if (!open) {
            return;
        }
        open = false;
        EventLoop.release(channel, acceptedBy);
        kept = null;
        out.clear();
        handler.closed(cause);
    }

    /** A dial that came up at once, before the selector could tell. */
    void up() {
        if (open) {
            handler.connected();
        }
    }

    void ready() {
        if (!open) {
            return; // closed by another's callback after the selector had found it ready
        }
        try {
            if (connecting && key.isConnectable()) {
                finishConnect();
            }
            if (open && !paused && key.isReadable()) {
                read();
            }
            if (open && key.isWritable()) {
                markDirty();
            }
            if (open) {
                interest();
            }
        } catch (IOException failure) {
            close(failure);
        }
    }

    private void finishConnect() throws IOException {
        if (channel.finishConnect()) { // false where a signal has interrupted the look at it
            connecting = false;
            markDirty();
            handler.connected();
        }
    }

    private void read() throws IOException {
        ByteBuffer buffer = loop.readBuffer();
        for (int i = 0; i < reads && open && !paused && !ended; i++) {
            int count = TransferCount.read(channel, buffer.clear());
            if (count == TransferCount.END_OF_STREAM) {
                ended = true;
                handler.ended();
            } else if (count > 0) {
                hand(buffer.flip());
            } else {
                return;
            }
        }
    }

    /** Hands over what was kept while reading was paused. */
    void handKept() {
        ByteBuffer data = kept;
        if (!open || paused || data == null) {
            return;
        }
        try {
            kept = null;
            hand(data);
            if (open) {
                interest();
            }
        } catch (IOException failure) {
            close(failure);
        }
    }

    private void hand(ByteBuffer data) throws IOException {
        handler.received(data);
        if (open && data.hasRemaining()) {
            kept = ByteBuffer.allocate(data.remaining()).put(data).flip();
            paused = true;
        }
    }

    /** Writes what the socket takes, a bounded part of it in one turn. */
    void flush() {
        if (!open || connecting) {
            dirty = false;
            return;
        }
        try {
            handler.flushing();
            dirty = false;
            boolean wrote = !out.isEmpty();
            for (int turn = 0; turn < TURN_BYTES && !out.isEmpty();) {
                ByteBuffer buffer = loop.writeBuffer().clear();
                out.copyTo(buffer);
                int filled = buffer.flip().remaining();
                int count = TransferCount.write(channel, buffer);
                turn += count;
                out.written(count);
                if (count < filled) {
                    break;
                }
            }
            if (out.isEmpty() && closeWhenFlushed) {
                close();
            } else if (open) {
                interest();
                if (wrote && out.isEmpty()) {
                    handler.flushed();
                }
            }
        } catch (IOException failure) {
            close(failure);
        }
    }

    private void interest() {
        if (open) {
            key.interestOps(connecting ? SelectionKey.OP_CONNECT
                    : (paused || ended || kept != null ? 0 : SelectionKey.OP_READ)
                            | (out.isEmpty() ? 0 : SelectionKey.OP_WRITE));
        }
    }
}
