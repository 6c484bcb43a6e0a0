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

/** The front that speaks binary frames. */
public final class FrameServer implements ClientServer {

    /**
     * Where this front listens, how many connections it takes, and whether the director can serve. A listening
     * socket that was {@code passed} in, or null, is used in place of the address.
     */
    public record Terms(InetSocketAddress address, ServerSocketChannel passed, int connections,
            BooleanSupplier able) {}

    private static final System.Logger LOG = System.getLogger(FrameServer.class.getName());
    /** Kept back from a client's wait for the way there and back, and for a busy core. */
    private static final long MARGIN_US = 20_000;
    private static final long SWEEP_US = 250_000;
    /** How soon a director that shares its listening socket sees that it can serve. */
    private static final long LOOK_US = 10_000;

    private final EventLoop loop;
    private final Clock clock;
    private final Terms terms;
    private final RequestReader reader;
    private final ServerContext shared;
    private final Set<FrameConnection> connections = new LinkedHashSet<>();
    private final IdleConnections idle = new IdleConnections();
    private final RecurringTask sweeping;
    private final RecurringTask opening;
    private Listener listener;
    private int most;
    private long awayMs;
    private boolean leaving;
    private boolean turningAway;

    public FrameServer(EventLoop loop, Clock clock, Deadlines deadlines, Budget budget, ProxyCore host,
            Settings settings, List<String> classNames, Terms terms) {
        this.loop = loop;
        this.clock = clock;
        this.terms = terms;
        this.most = terms.connections();
        this.reader = new RequestReader(MARGIN_US);
        this.shared = new ServerContext(host, reader, budget, clock, deadlines, () -> awayMs, this::ready,
                () -> turningAway, idle, this::forget);
        this.sweeping = new RecurringTask(deadlines, clock, SWEEP_US, () -> idle.sweep(clock.micros()));
        this.opening = new RecurringTask(deadlines, clock, LOOK_US, this::openWhenAble);
        retune(classNames, settings);
    }

    /** Takes requests of these classes from now on; a name is null where its class is taken no more. */
    public void retune(List<String> classNames, Settings settings) {
        reader.retune(classNames, settings.classes(), settings.paceKbPerS());
        awayMs = settings.allowed().maxRetryAfterUs() / 1000;
    }

    @Override
    public void open() throws IOException {
        if (terms.passed() == null) {
            listener = loop.listen(terms.address(), most, () -> idle.makeRoom(clock.micros()),
                    this::accepted);
        } else {
            opening.start();
        }
        sweeping.start();
    }

    /** Whether new connections are taken here, or left to another process on the same socket. */
    public void accepting(boolean taken) {
        if (listener != null) {
            listener.accepting(taken);
        }
    }

    /** Has so many connections be open from now on. */
    public void limit(int connections) {
        most = connections;
        if (listener != null && !leaving) {
            listener.limit(connections);
        }
    }

    /** What a director accepts before it can serve, another process on the same socket would have served. */
    private void openWhenAble() {
        if (!leaving && !terms.able().getAsBoolean()) {
            return;
        }
        if (!leaving) {
            try {
                listener = loop.listenOn(terms.passed(), most, () -> idle.makeRoom(clock.micros()),
                        this::accepted);
            } catch (IOException failure) {
                LOG.log(Level.WARNING, "the passed socket cannot be listened on: {0}", failure.toString());
                return; // tried again
            }
        }
        opening.stop();
    }

    /** The port that was bound. */
    public int port() {
        return listener.port();
    }

    private Connection.Handler accepted(Connection connection) {
        FrameConnection accepted = new FrameConnection(connection, shared);
        connections.add(accepted);
        idle.came(accepted, clock.micros());
        if (leaving) {
            accepted.leaveAfterNext();
        }
        return accepted;
    }

    @Override
    public boolean ready() {
        return listener != null && !leaving && terms.able().getAsBoolean();
    }

    private void forget(FrameConnection connection) {
        connections.remove(connection);
        idle.busy(connection);
    }

    @Override
    public void leave() {
        leaving = true;
        if (terms.passed() != null) {
            shut();
        }
        connections.forEach(FrameConnection::leave);
    }

    @Override
    public void shut() {
        if (listener != null) {
            if (terms.passed() == null) {
                listener.acceptAll();
            }
            listener.close();
        }
    }

    @Override
    public void part(boolean turnAway, boolean cuttingOff) {
        turningAway |= turnAway;
        List.copyOf(connections).forEach(cuttingOff ? FrameConnection::cutOff : FrameConnection::endIfIdle);
    }

    @Override
    public boolean empty() {
        return connections.isEmpty();
    }
}
