package clovermill.net;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import java.util.function.Function;

/** The one thread of the process: a selector, its connections and the sweep of all deadlines. */
public final class EventLoop {

    private static final System.Logger LOG = System.getLogger(EventLoop.class.getName());
    /** A paused connection keeps at most this much that it has read. */
    private static final int READ_BYTES = 1 << 15;
    private static final int WRITE_BYTES = 1 << 16;
    static final int BACKLOG = 1024;

    private final Clock clock;
    private final Deadlines deadlines;
    private final Selector selector;
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BYTES);
    private final ByteBuffer writeBuffer = ByteBuffer.allocateDirect(WRITE_BYTES);
    private final List<SelectionKey> later = new ArrayList<>();
    private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private List<Connection> dirty = new ArrayList<>();
    private List<Connection> soon = new ArrayList<>();
    private boolean running = true;

    public EventLoop(Clock clock, Deadlines deadlines) throws IOException {
        this.clock = clock;
        this.deadlines = deadlines;
        this.selector = Selector.open();
        SocketErrors.load();
    }

    /**
     * Listens on an address; {@code most} of its connections may be open at a time. When a further one has
     * come, {@code makeRoom} is asked to close another; until one is closed no more are taken.
     */
    public Listener listen(InetSocketAddress address, int most, Runnable makeRoom,
            Function<Connection, Connection.Handler> handlers) throws IOException {
        return listen(address, false, most, makeRoom, handlers);
    }

    /** As {@link #listen}; its connections are served ahead of all others in each turn, however many those are. */
    public Listener listenFirst(InetSocketAddress address, int most, Runnable makeRoom,
            Function<Connection, Connection.Handler> handlers) throws IOException {
        return listen(address, true, most, makeRoom, handlers);
    }

    private Listener listen(InetSocketAddress address, boolean first, int most, Runnable makeRoom,
            Function<Connection, Connection.Handler> handlers) throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.bind(address, BACKLOG);
            return new Listener(this, channel, selector, true, first, most, makeRoom, handlers);
        } catch (IOException | RuntimeException failure) {
            quietly(channel);
            throw failure;
        }
    }

    /** As {@link #listen}, on a socket that listens already and belongs to somebody else. */
    public Listener listenOn(ServerSocketChannel passed, int most, Runnable makeRoom,
            Function<Connection, Connection.Handler> handlers) throws IOException {
        passed.configureBlocking(false);
        return new Listener(this, passed, selector, false, false, most, makeRoom, handlers);
    }

    /** As {@link #listenOn}, with the call that takes a connection given by a test. */
    Listener listenOn(ServerSocketChannel passed, Listener.Acceptor acceptor, int most,
            Function<Connection, Connection.Handler> handlers) throws IOException {
        passed.configureBlocking(false);
        return new Listener(this, passed, acceptor, selector, false, false, most, () -> {}, handlers);
    }

    /** Takes datagrams on an address. */
    public Datagrams datagrams(InetSocketAddress address, Consumer<ByteBuffer> received) throws IOException {
        DatagramChannel channel = DatagramChannel.open();
        try {
            channel.configureBlocking(false);
            channel.bind(address);
            return new Datagrams(channel, selector, readBuffer, received);
        } catch (IOException | RuntimeException failure) {
            quietly(channel);
            throw failure;
        }
    }

    /** Dials; the handler hears of the result. A dial that fails at once throws. */
    public Connection connect(InetSocketAddress address, Function<Connection, Connection.Handler> handlers)
            throws IOException {
        SocketChannel channel = SocketChannel.open();
        boolean up;
        try {
            channel.configureBlocking(false);
            up = channel.connect(address);
        } catch (IOException | RuntimeException failure) {
            quietly(channel);
            throw failure instanceof IOException ? (IOException) failure : new IOException(failure);
        }
        Connection connection = adopt(channel, SelectionKey.OP_CONNECT, !up, handlers, null);
        if (up) {
            post(() -> guarded(connection, connection::up));
        }
        return connection;
    }

    /** Serves a connection that a listener has accepted, which is told when it has closed. */
    void adopt(SocketChannel channel, Listener listener, Function<Connection, Connection.Handler> handlers)
            throws IOException {
        adopt(channel, SelectionKey.OP_READ, false, handlers, listener);
    }

    private Connection adopt(SocketChannel channel, int interest, boolean connecting,
            Function<Connection, Connection.Handler> handlers, Listener acceptedBy) throws IOException {
        try {
            channel.configureBlocking(false);
            setNoDelay(channel);
            SelectionKey key = channel.register(selector, interest);
            Connection connection = new Connection(this, channel, key, connecting, acceptedBy);
            key.attach(connection);
            connection.handler(handlers.apply(connection));
            return connection;
        } catch (IOException | RuntimeException failure) {
            release(channel, acceptedBy); // else each such peer would take a place for ever
            throw failure;
        }
    }

    /** A connection that has been reset already, or cannot have the option, is served without: at worst later. */
    private static void setNoDelay(SocketChannel channel) {
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        } catch (IOException failure) {
            LOG.log(Level.DEBUG, "a connection goes without TCP_NODELAY: {0}", failure.getMessage());
        }
    }

    /** Runs {@code task} on the loop's thread; the only call that other threads may make. */
    public void post(Runnable task) {
        posted.add(task);
        selector.wakeup();
    }

    /** Ends {@link #run} after this turn. */
    public void stop() {
        running = false;
    }

    /** Serves until stopped. */
    public void run() throws IOException {
        while (running) {
            turn(Long.MAX_VALUE);
        }
        selector.close();
    }

    /** One turn, which waits for at most so many milliseconds. */
    public void turn(long mostMs) throws IOException {
        select(waitMs(mostMs));
        later.forEach(EventLoop::serve);
        later.clear();
        runPosted();
        resumeConnections();
        guarded(() -> deadlines.sweep(clock.micros()));
        flushConnections();
    }

    /** How long a turn may wait: not past the next deadline, and not at all where something is to be done already. */
    private long waitMs(long mostMs) {
        if (!soon.isEmpty() || !dirty.isEmpty()) {
            return 0;
        }
        long untilUs = deadlines.nextUs();
        return untilUs == Long.MAX_VALUE ? mostMs
                : Math.min(mostMs, Math.max(0, (untilUs - clock.micros() + 999) / 1000));
    }

    private void select(long waitMs) throws IOException {
        if (waitMs <= 0) {
            selector.selectNow(this::dispatch);
        } else {
            selector.select(this::dispatch, waitMs == Long.MAX_VALUE ? 0 : waitMs);
        }
    }

    private void runPosted() {
        for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
            guarded(task);
        }
    }

    private void resumeConnections() {
        List<Connection> resumed = soon;
        soon = new ArrayList<>();
        for (Connection connection : resumed) {
            guarded(connection, connection::handKept);
        }
    }

    private void flushConnections() {
        List<Connection> flushing = dirty;
        dirty = new ArrayList<>();
        for (Connection connection : flushing) {
            guarded(connection, connection::flush);
        }
    }

    /** Serves what comes first at once, and keeps the rest for the end of the selection. */
    private void dispatch(SelectionKey key) {
        boolean first = key.attachment() instanceof Listener listener && listener.first()
                || key.attachment() instanceof Connection connection && connection.first();
        if (first) {
            serve(key);
        } else {
            later.add(key);
        }
    }

    private static void serve(SelectionKey key) {
        if (!key.isValid()) {
            return; // given back by a callback that came before
        }
        if (key.attachment() instanceof Listener listener) {
            guarded(listener::accept);
        } else if (key.attachment() instanceof Connection connection) {
            guarded(connection, connection::ready);
        } else if (key.attachment() instanceof Datagrams datagrams) {
            guarded(datagrams::read);
        }
    }

    /** A fault in a callback costs its connection, never the process. */
    private static void guarded(Connection connection, Runnable callback) {
        try {
            callback.run();
        } catch (RuntimeException fault) {
            LOG.log(Level.ERROR, "a connection is closed after a fault", fault);
            guarded(connection::close);
        }
    }

    /** A fault in a callback is one entry in the log. */
    static void guarded(Runnable callback) {
        try {
            callback.run();
        } catch (RuntimeException fault) {
            LOG.log(Level.ERROR, "a callback failed", fault);
        }
    }

    ByteBuffer readBuffer() {
        return readBuffer;
    }

    ByteBuffer writeBuffer() {
        return writeBuffer;
    }

    void dirty(Connection connection) {
        dirty.add(connection);
    }

    void soon(Connection connection) {
        soon.add(connection);
    }

    Clock clock() {
        return clock;
    }

    Deadlines deadlines() {
        return deadlines;
    }

    /** Closes a connection's socket; {@code acceptedBy} is null for one that was dialled. */
    static void release(SocketChannel channel, Listener acceptedBy) {
        quietly(channel);
        if (acceptedBy != null) {
            acceptedBy.connectionClosed();
        }
    }

    static void quietly(AutoCloseable resource) {
        try {
            resource.close();
        } catch (Exception e) {
            LOG.log(Level.DEBUG, "closing failed", e);
        }
    }
}
