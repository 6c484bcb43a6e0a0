package clovermill.runtime.net;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketOption;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.SelectorProvider;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.function.Function;

/**
 * A socket channel whose calls return or throw the results that a test has set, as the JDK's channel does for system
 * errors.
 */
public final class ScriptedSocket extends SocketChannel {

    /** The result of {@code read} and {@code write} on Java 17 if the system call fails with EINTR. */
    static final int INTERRUPTED = -3;

    /** The results of the next calls, an {@link IOException} for a failure; every further read finds nothing. */
    public final Deque<Object> reads = new ArrayDeque<>();
    public final Deque<Object> writes = new ArrayDeque<>();
    public final Deque<Object> connects = new ArrayDeque<>();
    /** The bytes written so far. */
    public final StringBuilder written = new StringBuilder();

    private final SelectionKey key = key();
    private Connection connection;

    /** Creates a socket on which each call succeeds unless a test sets another result. */
    public ScriptedSocket() {
        super(SelectorProvider.provider());
    }

    /** Returns a connection of {@code loop} that is being dialed on this socket. */
    public Connection connect(EventLoop loop, Function<Connection, ConnectionHandler> handlers) {
        connection = new Connection(loop, this, key, true, null);
        connection.start(handlers.apply(connection));
        return connection;
    }

    /** Reports the connection as ready for all operations in its interest set, as a selection does. */
    public void reportReady() {
        connection.serveReady();
    }

    /** Returns true if the connection waits until this socket is writable. */
    public boolean isAwaitedWritable() {
        return (key.interestOps() & SelectionKey.OP_WRITE) != 0;
    }

    private static Object next(Deque<Object> results, Object otherwise) throws IOException {
        Object result = results.isEmpty() ? otherwise : results.poll();
        if (result instanceof IOException failure) {
            throw failure;
        }
        return result;
    }

    @Override
    public int read(ByteBuffer buffer) throws IOException {
        int count = (Integer) next(reads, 0);
        for (int i = 0; i < count; i++) {
            buffer.put((byte) 'r');
        }
        return count;
    }

    @Override
    public int write(ByteBuffer buffer) throws IOException {
        int count = Math.min(buffer.remaining(), (Integer) next(writes, buffer.remaining()));
        for (int i = 0; i < count; i++) {
            written.append((char) buffer.get());
        }
        return count;
    }

    @Override
    public boolean finishConnect() throws IOException {
        return (Boolean) next(connects, true);
    }

    /** A key without a selector, always ready for all operations in its interest set. */
    SelectionKey key() {
        return key(false);
    }

    /** A key without a selector that was found readable before its interest set was last changed. */
    SelectionKey alwaysReadableKey() {
        return key(true);
    }

    private SelectionKey key(boolean foundReadable) {
        return new SelectionKey() {
            private int interest;

            @Override
            public ScriptedSocket channel() {
                return ScriptedSocket.this;
            }

            @Override
            public Selector selector() {
                return null;
            }

            @Override
            public boolean isValid() {
                return ScriptedSocket.this.isOpen();
            }

            @Override
            public void cancel() {}

            @Override
            public int interestOps() {
                return interest;
            }

            @Override
            public SelectionKey interestOps(int operations) {
                interest = operations;
                return this;
            }

            @Override
            public int readyOps() {
                return foundReadable ? interest | SelectionKey.OP_READ : interest;
            }
        };
    }

    @Override
    public SocketChannel bind(SocketAddress local) {
        throw new UnsupportedOperationException();
    }

    @Override
    public <T> SocketChannel setOption(SocketOption<T> name, T value) {
        throw new UnsupportedOperationException();
    }

    @Override
    public <T> T getOption(SocketOption<T> name) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Set<SocketOption<?>> supportedOptions() {
        return Set.of();
    }

    @Override
    public SocketChannel shutdownInput() {
        return this;
    }

    @Override
    public SocketChannel shutdownOutput() {
        return this;
    }

    @Override
    public Socket socket() {
        throw new UnsupportedOperationException();
    }

    @Override
    public boolean isConnected() {
        return true;
    }

    @Override
    public boolean isConnectionPending() {
        return false;
    }

    @Override
    public boolean connect(SocketAddress remote) {
        throw new UnsupportedOperationException();
    }

    @Override
    public SocketAddress getRemoteAddress() {
        return null;
    }

    @Override
    public SocketAddress getLocalAddress() {
        return null;
    }

    @Override
    public long read(ByteBuffer[] buffers, int offset, int length) {
        throw new UnsupportedOperationException();
    }

    @Override
    public long write(ByteBuffer[] buffers, int offset, int length) {
        throw new UnsupportedOperationException();
    }

    @Override
    protected void implCloseSelectableChannel() {}

    @Override
    protected void implConfigureBlocking(boolean block) {}
}
