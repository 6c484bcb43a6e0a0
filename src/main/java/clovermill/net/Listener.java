package clovermill.net;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Function;

/** A listening socket of the event loop; it counts the connections accepted from it that are open. */
public final class Listener implements AutoCloseable {

    /** The system's call that takes one connection, null where none waits. */
    interface Acceptor {
        SocketChannel accept() throws IOException;
    }

    private static final System.Logger LOG = System.getLogger(Listener.class.getName());
    /** What is accepted in one turn: a storm of connects must not hold up those that are served. */
    private static final int TURN_ACCEPTS = 16;
    /** So often in a row none is found before none is there: an interrupted call (EINTR) finds none either. */
    private static final int MAX_EMPTY_ACCEPTS = 16;
    /** After an accept that this machine had no descriptor or memory for, the listener rests this long. */
    private static final long ACCEPT_REST_US = 50_000;

    private final EventLoop loop;
    private final ServerSocketChannel channel;
    private final Acceptor acceptor;
    private final SelectionKey key;
    private final Function<Connection, Connection.Handler> handlers;
    private final Runnable makeRoom;
    private final boolean owned;
    private final boolean first;
    private int maxConnections;
    private int openConnections;
    private boolean accepting = true;

    /** An {@code owned} channel is closed with this listener; {@code first} has its connections served first. */
    Listener(EventLoop loop, ServerSocketChannel channel, Selector selector, boolean owned, boolean first,
            int maxConnections, Runnable makeRoom, Function<Connection, Connection.Handler> handlers)
            throws IOException {
        this(loop, channel, channel::accept, selector, owned, first, maxConnections, makeRoom, handlers);
    }

    Listener(EventLoop loop, ServerSocketChannel channel, Acceptor acceptor, Selector selector, boolean owned,
            boolean first, int maxConnections, Runnable makeRoom,
            Function<Connection, Connection.Handler> handlers) throws IOException {
        this.loop = loop;
        this.channel = channel;
        this.acceptor = acceptor;
        this.owned = owned;
        this.first = first;
        this.maxConnections = maxConnections;
        this.makeRoom = makeRoom;
        this.handlers = handlers;
        this.key = channel.register(selector, SelectionKey.OP_ACCEPT, this);
    }

    /** The port that was bound. */
    public int port() {
        return channel.socket().getLocalPort();
    }

    /** Whether this listener and its connections are served ahead of all others in each turn. */
    boolean first() {
        return first;
    }

    /** Accepts what waits, a bounded number of connections in one turn. */
    void accept() {
        if (!accepting) {
            return; // found ready in the same turn in which that was said
        }
        for (int i = 0; i < TURN_ACCEPTS && mayAccept(); i++) {
            try {
                SocketChannel peer = acceptor.accept();
                if (peer == null) {
                    return;
                }
                take(peer);
            } catch (IOException failure) {
                if (!SocketErrors.isOfOneConnection(failure)) {
                    logFailure(failure);
                    key.interestOps(0);
                    loop.deadlines().add(loop.clock().micros() + ACCEPT_REST_US, this::listen);
                    return;
                }
                LOG.log(Level.DEBUG, "a connection was lost before it was accepted: {0}", failure.getMessage());
            }
        }
    }

    private boolean mayAccept() {
        boolean room = openConnections <= maxConnections;
        if (!room) {
            key.interestOps(0);
        }
        return room;
    }

    /**
     * Takes every connection that the machine has accepted up to now, each beyond the limit in the place of
     * another: the end of the listening socket would reset them.
     */
    public void acceptAll() {
        int lost = 0;
        for (int empty = 0; empty < MAX_EMPTY_ACCEPTS && lost < EventLoop.BACKLOG
                && openConnections <= maxConnections + TURN_ACCEPTS;) {
            try {
                SocketChannel peer = acceptor.accept();
                empty = peer == null ? empty + 1 : 0;
                if (peer != null) {
                    take(peer);
                }
            } catch (IOException failure) {
                lost++;
                if (!SocketErrors.isOfOneConnection(failure)) {
                    logFailure(failure);
                    return;
                }
            }
        }
    }

    /** Takes an accepted connection in; one that cannot be taken in gives its place and its descriptor back. */
    private void take(SocketChannel peer) {
        openConnections++;
        if (openConnections > maxConnections) {
            try {
                makeRoom.run();
            } catch (RuntimeException fault) {
                EventLoop.quietly(peer);
                connectionClosed();
                throw fault;
            }
        }
        try {
            loop.adopt(peer, this, handlers);
        } catch (IOException failure) {
            LOG.log(Level.WARNING, "a connection could not be taken in: {0}", failure.getMessage());
        }
    }

    private static void logFailure(IOException failure) {
        LOG.log(Level.WARNING, "accepting failed: {0}", failure.getMessage());
    }

    /** Has so many connections be open from now on; for those beyond it room is asked for at once. */
    public void limit(int connections) {
        maxConnections = connections;
        for (int over = openConnections - maxConnections; over > 0 && openConnections > maxConnections; over--) {
            makeRoom.run();
        }
        listen();
    }

    /** A connection that was accepted here has been closed. */
    void connectionClosed() {
        openConnections--;
        listen();
    }

    /** Whether connections are accepted; those that wait are left to whoever else accepts from this socket. */
    public void accepting(boolean wanted) {
        accepting = wanted;
        if (wanted) {
            listen();
        } else if (key.isValid()) {
            key.interestOps(0);
        }
    }

    private void listen() {
        if (accepting && key.isValid()) {
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }

    /** Accepts no more; a socket that was passed in stays open for whoever else accepts from it. */
    @Override
    public void close() {
        if (owned) {
            EventLoop.quietly(channel);
        } else {
            key.cancel();
        }
    }
}
