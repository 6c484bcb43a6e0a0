package clovermill.runtime.net;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Function;

/** A listening socket of the event loop; it counts and limits the open connections accepted from it. */
public final class Listener implements AutoCloseable {

    /** The accept call; it returns null if no connection is pending. */
    interface Acceptor {
        SocketChannel accept() throws IOException;
    }

    private static final System.Logger LOG = System.getLogger(Listener.class.getName());
    /** Limit of one turn: a burst of new connections must not delay the established ones. */
    private static final int MAX_ACCEPTS_PER_TURN = 16;
    /** Empty accepts in a row that mean none is pending: an interrupted call (EINTR) also returns no connection. */
    private static final int MAX_EMPTY_ACCEPTS = 16;
    /** Pause of accepting after this machine had no descriptor or memory for a connection. */
    private static final long ACCEPT_PAUSE_US = 50_000;

    private final EventLoop loop;
    private final ServerSocketChannel channel;
    private final Acceptor acceptor;
    private final SelectionKey key;
    private final Function<Connection, ConnectionHandler> handlers;
    private final Runnable closeAnother;
    private final boolean owned;
    private final boolean priority;
    private int maxConnections;
    private int openConnections;
    private boolean accepting = true;

    /**
     * Creates a listener. An {@code owned} channel is closed with it; with {@code priority} its connections are served
     * first.
     */
    Listener(EventLoop loop, ServerSocketChannel channel, Selector selector, boolean owned, boolean priority,
            int maxConnections, Runnable closeAnother, Function<Connection, ConnectionHandler> handlers)
            throws IOException {
        this(loop, channel, channel::accept, selector, owned, priority, maxConnections, closeAnother, handlers);
    }

    Listener(EventLoop loop, ServerSocketChannel channel, Acceptor acceptor, Selector selector, boolean owned,
            boolean priority, int maxConnections, Runnable closeAnother,
            Function<Connection, ConnectionHandler> handlers) throws IOException {
        this.loop = loop;
        this.channel = channel;
        this.acceptor = acceptor;
        this.owned = owned;
        this.priority = priority;
        this.maxConnections = maxConnections;
        this.closeAnother = closeAnother;
        this.handlers = handlers;
        this.key = channel.register(selector, SelectionKey.OP_ACCEPT, this);
    }

    /** Returns the local port. */
    public int port() {
        return channel.socket().getLocalPort();
    }

    /** Returns true if this listener and its connections are served ahead of others in each turn. */
    boolean hasPriority() {
        return priority;
    }

    /** Accepts pending connections, up to the limit of one turn. */
    void accept() {
        if (!accepting) {
            return; // disabled after the selection reported it ready
        }
        for (int i = 0; i < MAX_ACCEPTS_PER_TURN && mayAccept(); i++) {
            try {
                SocketChannel peer = acceptor.accept();
                if (peer == null) {
                    return;
                }
                register(peer);
            } catch (IOException failure) {
                if (!SocketErrors.isOfOneConnection(failure)) {
                    logFailure(failure);
                    key.interestOps(0);
                    loop.deadlines().add(loop.clock().micros() + ACCEPT_PAUSE_US, this::awaitConnections);
                    return;
                }
                LOG.log(Level.DEBUG, "a pending connection failed before it was accepted: {0}", failure.getMessage());
            }
        }
    }

    private boolean mayAccept() {
        boolean belowLimit = openConnections <= maxConnections;
        if (!belowLimit) {
            key.interestOps(0);
        }
        return belowLimit;
    }

    /**
     * Accepts every pending connection, closing another for each beyond the limit: the system resets pending
     * connections when the listening socket is closed.
     */
    public void acceptAll() {
        int failures = 0;
        for (int emptyAccepts = 0; emptyAccepts < MAX_EMPTY_ACCEPTS && failures < Sockets.BACKLOG
                && openConnections <= maxConnections + MAX_ACCEPTS_PER_TURN;) {
            try {
                SocketChannel peer = acceptor.accept();
                emptyAccepts = peer == null ? emptyAccepts + 1 : 0;
                if (peer != null) {
                    register(peer);
                }
            } catch (IOException failure) {
                failures++;
                if (!SocketErrors.isOfOneConnection(failure)) {
                    logFailure(failure);
                    return;
                }
            }
        }
    }

    /** Serves an accepted connection; on failure it is closed and no longer counted. */
    private void register(SocketChannel peer) {
        openConnections++;
        if (openConnections > maxConnections) {
            try {
                closeAnother.run();
            } catch (RuntimeException fault) {
                Sockets.closeQuietly(peer);
                connectionClosed();
                throw fault;
            }
        }
        try {
            loop.registerAccepted(peer, this, handlers);
        } catch (IOException failure) {
            LOG.log(Level.WARNING, "an accepted connection could not be registered: {0}", failure.getMessage());
        }
    }

    private static void logFailure(IOException failure) {
        LOG.log(Level.WARNING, "accepting failed: {0}", failure.getMessage());
    }

    /** Sets the limit of open connections; another is closed at once for each beyond it. */
    public void limit(int connections) {
        maxConnections = connections;
        for (int excess = openConnections - maxConnections; excess > 0 && openConnections > maxConnections; excess--) {
            closeAnother.run();
        }
        awaitConnections();
    }

    /** Called when a connection that was accepted here has been closed. */
    void connectionClosed() {
        openConnections--;
        awaitConnections();
    }

    /** Enables or disables accepting; while disabled, pending connections are left to other processes on the socket. */
    public void accepting(boolean enabled) {
        accepting = enabled;
        if (enabled) {
            awaitConnections();
        } else if (key.isValid()) {
            key.interestOps(0);
        }
    }

    private void awaitConnections() {
        if (accepting && key.isValid()) {
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }

    /** Stops accepting; an inherited socket stays open for other processes that accept from it. */
    @Override
    public void close() {
        if (owned) {
            Sockets.closeQuietly(channel);
        } else {
            key.cancel();
        }
    }
}
