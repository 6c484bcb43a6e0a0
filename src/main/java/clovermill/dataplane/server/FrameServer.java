package clovermill.dataplane.server;

import clovermill.dataplane.proxy.ProxyCore;
import clovermill.routing.api.Settings;
import clovermill.runtime.net.Budget;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.ConnectionHandler;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import clovermill.runtime.net.Listener;
import clovermill.runtime.net.RecurringTask;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;

/** The server for clients of the binary frame protocol. */
public final class FrameServer implements ClientServer {

    /**
     * The listening options of a server.
     *
     * @param address the listen address, if no socket is inherited
     * @param inheritedSocket a listening socket that other processes share, or null
     * @param maxConnections limit of open connections
     * @param canServe whether the director can serve requests
     */
    public record Options(InetSocketAddress address, ServerSocketChannel inheritedSocket, int maxConnections,
            BooleanSupplier canServe) {}

    private static final System.Logger LOG = System.getLogger(FrameServer.class.getName());
    /** Margin subtracted from a client's timeout for the network round trip and a busy CPU. */
    private static final long ANSWER_MARGIN_US = 20_000;
    private static final long SWEEP_INTERVAL_US = 250_000;
    /** Interval at which a director with an inherited socket checks whether it can serve. */
    private static final long READINESS_INTERVAL_US = 10_000;

    private final EventLoop loop;
    private final Clock clock;
    private final Options options;
    private final RequestReader reader;
    private final ServerContext context;
    private final Set<FrameConnection> connections = new LinkedHashSet<>();
    private final IdleConnections idle = new IdleConnections();
    private final RecurringTask sweep;
    private final RecurringTask readinessCheck;
    private Listener listener;
    private int maxConnections;
    private long retryAfterMs;
    private boolean shuttingDown;
    private boolean rejectingNew;

    /** Creates a server that passes requests to {@code proxy}; {@code classNames} as in {@link #reload}. */
    public FrameServer(EventLoop loop, Clock clock, Deadlines deadlines, Budget budget, ProxyCore proxy,
            Settings settings, List<String> classNames, Options options) {
        this.loop = loop;
        this.clock = clock;
        this.options = options;
        this.maxConnections = options.maxConnections();
        this.reader = new RequestReader(ANSWER_MARGIN_US);
        this.context = new ServerContext(proxy, reader, budget, clock, deadlines, () -> retryAfterMs,
                this::isReady, () -> rejectingNew, idle, this::removeConnection);
        this.sweep = new RecurringTask(deadlines, clock, SWEEP_INTERVAL_US,
                () -> idle.closeExpired(clock.micros()));
        this.readinessCheck = new RecurringTask(deadlines, clock, READINESS_INTERVAL_US, this::openWhenReady);
        reload(classNames, settings);
    }

    /** Sets the accepted request classes; a name is null if its class is no longer accepted. */
    public void reload(List<String> classNames, Settings settings) {
        reader.reload(classNames, settings.classes(), settings.paceKbPerS());
        retryAfterMs = settings.capabilities().maxRetryAfterUs() / 1000;
    }

    @Override
    public void open() throws IOException {
        if (options.inheritedSocket() == null) {
            listener = loop.listen(options.address(), maxConnections, this::evictIdle, this::accept);
        } else {
            readinessCheck.start();
        }
        sweep.start();
    }

    /** Sets whether new connections are accepted here or left to another process on the same socket. */
    public void setAccepting(boolean accepting) {
        if (listener != null) {
            listener.accepting(accepting);
        }
    }

    /** Sets the limit of open connections; idle connections above it are closed. */
    public void setMaxConnections(int max) {
        maxConnections = max;
        if (listener != null && !shuttingDown) {
            listener.limit(max);
        }
    }

    /**
     * Starts accepting from an inherited socket once this director can serve; until then another process on the socket
     * serves the connections. A director that shuts down earlier never starts accepting.
     */
    private void openWhenReady() {
        if (!shuttingDown && !options.canServe().getAsBoolean()) {
            return;
        }
        if (!shuttingDown) {
            try {
                listener = loop.listenOn(options.inheritedSocket(), maxConnections, this::evictIdle, this::accept);
            } catch (IOException failure) {
                LOG.log(Level.WARNING, "cannot listen on the inherited socket, retrying: {0}", failure.toString());
                return;
            }
        }
        readinessCheck.stop();
    }

    private void evictIdle() {
        idle.evictOne(clock.micros());
    }

    /** Returns the bound port. */
    public int port() {
        return listener.port();
    }

    private ConnectionHandler accept(Connection connection) {
        FrameConnection accepted = new FrameConnection(connection, context);
        connections.add(accepted);
        idle.addOpened(accepted, clock.micros());
        if (shuttingDown) {
            accepted.announceShutdownAfterNextRequest();
        }
        return accepted;
    }

    @Override
    public boolean isReady() {
        return listener != null && !shuttingDown && options.canServe().getAsBoolean();
    }

    private void removeConnection(FrameConnection connection) {
        connections.remove(connection);
        idle.removeClosed(connection);
    }

    @Override
    public void announceShutdown() {
        shuttingDown = true;
        if (options.inheritedSocket() != null) {
            stopAccepting();
        }
        connections.forEach(FrameConnection::announceShutdown);
    }

    @Override
    public void stopAccepting() {
        if (listener != null) {
            if (options.inheritedSocket() == null) {
                listener.acceptAll();
            }
            listener.close();
        }
    }

    @Override
    public void closeConnections(boolean rejectNew, boolean force) {
        rejectingNew |= rejectNew;
        List.copyOf(connections).forEach(force ? FrameConnection::forceClose : FrameConnection::closeIfIdle);
    }

    @Override
    public boolean isEmpty() {
        return connections.isEmpty();
    }
}
