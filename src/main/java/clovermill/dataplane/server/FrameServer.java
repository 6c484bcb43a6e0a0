package clovermill.dataplane.server;

import clovermill.dataplane.proxy.ProxyCore;
import clovermill.routing.api.Settings;
import clovermill.runtime.net.Budget;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
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

/** Accepts the clients that speak the binary frame protocol. */
public final class FrameServer implements ClientServer {

    /**
     * How this server listens.
     *
     * @param address where to listen, if no socket is inherited
     * @param inheritedSocket a listening socket that other processes share, or null
     * @param maxConnections how many connections may be open
     * @param canServe whether the director can serve requests
     */
    public record Options(InetSocketAddress address, ServerSocketChannel inheritedSocket, int maxConnections,
            BooleanSupplier canServe) {}

    private static final System.Logger LOG = System.getLogger(FrameServer.class.getName());
    /** Subtracted from a client's wait for the network both ways and a busy core. */
    private static final long ANSWER_MARGIN_US = 20_000;
    private static final long SWEEP_INTERVAL_US = 250_000;
    /** How often a director that inherited its socket checks whether it can serve. */
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

    /** A server that passes requests to {@code proxy}; {@code classNames} as in {@link #reload}. */
    public FrameServer(EventLoop loop, Clock clock, Deadlines deadlines, Budget budget, ProxyCore proxy,
            Settings settings, List<String> classNames, Options options) {
        this.loop = loop;
        this.clock = clock;
        this.options = options;
        this.maxConnections = options.maxConnections();
        this.reader = new RequestReader(ANSWER_MARGIN_US);
        this.context = new ServerContext(proxy, reader, budget, clock, deadlines, () -> retryAfterMs,
                this::isReady, () -> rejectingNew, idle, this::forget);
        this.sweep = new RecurringTask(deadlines, clock, SWEEP_INTERVAL_US,
                () -> idle.closeExpired(clock.micros()));
        this.readinessCheck = new RecurringTask(deadlines, clock, READINESS_INTERVAL_US, this::openWhenReady);
        reload(classNames, settings);
    }

    /** Accepts requests of these classes from now on; a name is null if its class is not accepted any more. */
    public void reload(List<String> classNames, Settings settings) {
        reader.reload(classNames, settings.classes(), settings.paceKbPerS());
        retryAfterMs = settings.allowed().maxRetryAfterUs() / 1000;
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

    /** Whether new connections are accepted here, or left to another process on the same socket. */
    public void setAccepting(boolean accepting) {
        if (listener != null) {
            listener.accepting(accepting);
        }
    }

    /** Sets how many connections may be open; idle ones are closed where more are. */
    public void setMaxConnections(int max) {
        maxConnections = max;
        if (listener != null && !shuttingDown) {
            listener.limit(max);
        }
    }

    /**
     * Begins to accept from an inherited socket once this director can serve: until then another process on the socket
     * serves the connections. A director that shuts down before that never begins.
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

    /** The port that was bound. */
    public int port() {
        return listener.port();
    }

    private Connection.Handler accept(Connection connection) {
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

    private void forget(FrameConnection connection) {
        connections.remove(connection);
        idle.remove(connection);
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
