package clovermill.runtime.net;

import java.io.IOException;
import java.net.InetSocketAddress;
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

/** The loop that serves all connections on one thread: a selector, its connections and the sweep of all deadlines. */
public final class EventLoop {

    /** Size of the read buffer, and so the maximum that a paused connection keeps unread. */
    private static final int READ_BYTES = 1 << 15;
    private static final int WRITE_BYTES = 1 << 16;
    private static final long MICROS_PER_MILLI = 1000;

    private final Clock clock;
    private final Deadlines deadlines;
    private final Selector selector;
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BYTES);
    private final ByteBuffer writeBuffer = ByteBuffer.allocateDirect(WRITE_BYTES);
    private final List<SelectionKey> deferredKeys = new ArrayList<>();
    private final Queue<Runnable> postedTasks = new ConcurrentLinkedQueue<>();
    private List<Connection> connectionsToFlush = new ArrayList<>();
    private List<Connection> connectionsToDeliver = new ArrayList<>();
    private boolean running = true;

    /** Creates a loop, which {@link #run} or {@link #turn} runs. */
    public EventLoop(Clock clock, Deadlines deadlines) throws IOException {
        this.clock = clock;
        this.deadlines = deadlines;
        this.selector = Selector.open();
        SocketErrors.load();
    }

    /**
     * Listens on an address; at most {@code maxConnections} of its connections may be open at a time. When a further
     * one arrives, {@code closeAnother} is asked to close another; until one is closed no more are accepted.
     */
    public Listener listen(InetSocketAddress address, int maxConnections, Runnable closeAnother,
            Function<Connection, ConnectionHandler> handlers) throws IOException {
        return listen(address, false, maxConnections, closeAnother, handlers);
    }

    /** As {@link #listen}; its connections are served ahead of all others in each turn. */
    public Listener listenWithPriority(InetSocketAddress address, int maxConnections, Runnable closeAnother,
            Function<Connection, ConnectionHandler> handlers) throws IOException {
        return listen(address, true, maxConnections, closeAnother, handlers);
    }

    private Listener listen(InetSocketAddress address, boolean priority, int maxConnections, Runnable closeAnother,
            Function<Connection, ConnectionHandler> handlers) throws IOException {
        ServerSocketChannel channel = Sockets.openListening(address);
        try {
            return new Listener(this, channel, selector, true, priority, maxConnections, closeAnother, handlers);
        } catch (IOException | RuntimeException failure) {
            Sockets.closeQuietly(channel);
            throw failure;
        }
    }

    /** As {@link #listen}, on a socket that listens already and stays open when the listener closes. */
    public Listener listenOn(ServerSocketChannel inherited, int maxConnections, Runnable closeAnother,
            Function<Connection, ConnectionHandler> handlers) throws IOException {
        inherited.configureBlocking(false);
        return new Listener(this, inherited, selector, false, false, maxConnections, closeAnother, handlers);
    }

    /** As {@link #listenOn}, with the accept call replaced by a test. */
    Listener listenOn(ServerSocketChannel inherited, Listener.Acceptor acceptor, int maxConnections,
            Function<Connection, ConnectionHandler> handlers) throws IOException {
        inherited.configureBlocking(false);
        return new Listener(this, inherited, acceptor, selector, false, false, maxConnections, () -> {}, handlers);
    }

    /** Receives datagrams on an address. */
    public Datagrams datagrams(InetSocketAddress address, Consumer<ByteBuffer> receiver) throws IOException {
        DatagramChannel channel = Sockets.openDatagram(address);
        try {
            return new Datagrams(channel, selector, readBuffer, receiver);
        } catch (IOException | RuntimeException failure) {
            Sockets.closeQuietly(channel);
            throw failure;
        }
    }

    /**
     * Dials an address; the handler is called with the result.
     *
     * @throws IOException if the dial fails at once
     */
    public Connection connect(InetSocketAddress address, Function<Connection, ConnectionHandler> handlers)
            throws IOException {
        SocketChannel channel = Sockets.openDialling(address);
        boolean connected = channel.isConnected();
        Connection connection = register(channel, SelectionKey.OP_CONNECT, !connected, handlers, null);
        if (connected) {
            post(() -> Callbacks.runGuarded(connection, connection::reportConnected));
        }
        return connection;
    }

    /** Serves a connection that {@code listener} has accepted; the listener is called when it has closed. */
    void registerAccepted(SocketChannel channel, Listener listener, Function<Connection, ConnectionHandler> handlers)
            throws IOException {
        register(channel, SelectionKey.OP_READ, false, handlers, listener);
    }

    private Connection register(SocketChannel channel, int interest, boolean connecting,
            Function<Connection, ConnectionHandler> handlers, Listener acceptedBy) throws IOException {
        try {
            channel.configureBlocking(false);
            Sockets.setNoDelay(channel);
            SelectionKey key = channel.register(selector, interest);
            Connection connection = new Connection(this, channel, key, connecting, acceptedBy);
            key.attach(connection);
            connection.start(handlers.apply(connection));
            return connection;
        } catch (IOException | RuntimeException failure) {
            Sockets.release(channel, acceptedBy); // otherwise it would count against the limit forever
            throw failure;
        }
    }

    /** Runs {@code task} on the loop's thread; the only method that other threads may call. */
    public void post(Runnable task) {
        postedTasks.add(task);
        selector.wakeup();
    }

    /** Stops {@link #run} after this turn. */
    public void stop() {
        running = false;
    }

    /** Runs turns until {@link #stop}, then closes the selector. */
    public void run() throws IOException {
        while (running) {
            turn(Long.MAX_VALUE);
        }
        selector.close();
    }

    /** Runs one turn: waits for events for at most {@code maxMs}, then serves everything that is due. */
    public void turn(long maxMs) throws IOException {
        select(waitMs(maxMs));
        deferredKeys.forEach(EventLoop::serve);
        deferredKeys.clear();
        runPosted();
        deliverUnread();
        Callbacks.runGuarded(() -> deadlines.sweep(clock.micros()));
        flushConnections();
    }

    /** Returns the time that a turn may wait: until the next deadline, or 0 if work is scheduled already. */
    private long waitMs(long maxMs) {
        if (!connectionsToDeliver.isEmpty() || !connectionsToFlush.isEmpty()) {
            return 0;
        }
        long nextUs = deadlines.nextUs();
        return nextUs == Long.MAX_VALUE ? maxMs
                : Math.min(maxMs,
                        Math.max(0, (nextUs - clock.micros() + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI));
    }

    private void select(long waitMs) throws IOException {
        if (waitMs <= 0) {
            selector.selectNow(this::dispatch);
        } else {
            selector.select(this::dispatch, waitMs == Long.MAX_VALUE ? 0 : waitMs);
        }
    }

    private void runPosted() {
        for (Runnable task = postedTasks.poll(); task != null; task = postedTasks.poll()) {
            Callbacks.runGuarded(task);
        }
    }

    private void deliverUnread() {
        List<Connection> resumed = connectionsToDeliver;
        connectionsToDeliver = new ArrayList<>();
        for (Connection connection : resumed) {
            Callbacks.runGuarded(connection, connection::deliverResumed);
        }
    }

    private void flushConnections() {
        List<Connection> flushing = connectionsToFlush;
        connectionsToFlush = new ArrayList<>();
        for (Connection connection : flushing) {
            Callbacks.runGuarded(connection, connection::flush);
        }
    }

    /** Serves keys with priority at once and defers the others to the end of the selection. */
    private void dispatch(SelectionKey key) {
        boolean priority = key.attachment() instanceof Listener listener && listener.hasPriority()
                || key.attachment() instanceof Connection connection && connection.hasPriority();
        if (priority) {
            serve(key);
        } else {
            deferredKeys.add(key);
        }
    }

    private static void serve(SelectionKey key) {
        if (!key.isValid()) {
            return; // closed by an earlier callback of this turn
        }
        if (key.attachment() instanceof Listener listener) {
            Callbacks.runGuarded(listener::accept);
        } else if (key.attachment() instanceof Connection connection) {
            Callbacks.runGuarded(connection, connection::serveReady);
        } else if (key.attachment() instanceof Datagrams datagrams) {
            Callbacks.runGuarded(datagrams::read);
        }
    }

    ByteBuffer readBuffer() {
        return readBuffer;
    }

    ByteBuffer writeBuffer() {
        return writeBuffer;
    }

    /** Schedules {@link Connection#flush} at the end of this turn. */
    void scheduleFlush(Connection connection) {
        connectionsToFlush.add(connection);
    }

    /** Schedules {@link Connection#deliverUnread} in this turn, or in the next one after this turn's deliveries. */
    void scheduleDelivery(Connection connection) {
        connectionsToDeliver.add(connection);
    }

    Clock clock() {
        return clock;
    }

    Deadlines deadlines() {
        return deadlines;
    }
}
