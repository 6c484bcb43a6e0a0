package clovermill.director.shutdown;

import clovermill.dataplane.proxy.ProxyCore;
import clovermill.dataplane.server.ClientServer;
import clovermill.director.shutdown.decide.ShutdownSequence;
import clovermill.director.shutdown.decide.ShutdownSequence.Phase;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import clovermill.runtime.net.RecurringTask;
import java.lang.System.Logger.Level;
import java.util.function.LongSupplier;

/**
 * Executes a graceful shutdown: clients are notified and still served, each connection is closed once it is idle, and
 * the loop stops when no connection is open, so that no client connects to a process that is about to exit. Confined to
 * the loop's thread.
 */
public final class GracefulShutdown {

    private static final System.Logger LOG = System.getLogger(GracefulShutdown.class.getName());
    private static final long CHECK_INTERVAL_US = 10_000;

    private final EventLoop loop;
    private final Clock clock;
    private final ClientServer server;
    private final ProxyCore core;
    private final LongSupplier longestDeadlineUs;
    private final boolean handover;
    private final RecurringTask checks;
    private ShutdownSequence sequence;
    private boolean acceptingStopped;
    private boolean forceClosing;

    /**
     * Creates a shutdown, which {@link #begin} starts.
     *
     * @param longestDeadlineUs the longest deadline of a request under the settings in force
     * @param handover true if another process accepts connections on the same listening socket
     */
    public GracefulShutdown(EventLoop loop, Clock clock, Deadlines deadlines, ClientServer server, ProxyCore core,
            LongSupplier longestDeadlineUs, boolean handover) {
        this.loop = loop;
        this.clock = clock;
        this.server = server;
        this.core = core;
        this.longestDeadlineUs = longestDeadlineUs;
        this.handover = handover;
        this.checks = new RecurringTask(deadlines, clock, CHECK_INTERVAL_US, this::check);
    }

    /** Begins the shutdown; must be called once. */
    public void begin() {
        sequence = new ShutdownSequence(clock.micros(), longestDeadlineUs.getAsLong(), handover);
        server.announceShutdown();
        checks.start();
    }

    /**
     * Applies the current phase. The flags are set before the calls: a failed call must not be repeated at each check.
     */
    private void check() {
        Phase phase = sequence.phase(clock.micros());
        if (!acceptingStopped && phase.compareTo(Phase.CLOSING_IDLE) >= 0) {
            acceptingStopped = true;
            server.stopAccepting();
        }
        if (phase.compareTo(Phase.ANSWERING_ALL) >= 0) {
            core.answerOpenRequests();
        }
        if (!forceClosing && phase == Phase.FORCE_CLOSING) {
            forceClosing = true;
            LOG.log(Level.WARNING, "closing the connections of clients that do not read, {0} ms after SIGTERM",
                    Long.toString(sequence.forceCloseDelayUs() / 1000));
        }
        if (acceptingStopped) {
            server.closeConnections(phase.compareTo(Phase.REJECTING) >= 0, forceClosing);
        }
        if (server.isEmpty() && (acceptingStopped || handover)) {
            checks.stop();
            loop.stop();
        }
    }
}
