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
 * Carries out a graceful shutdown: clients are notified and served meanwhile, each connection is closed once it is
 * idle, and the loop stops when no connection is open, so that no client connects to a process that is about to end. On
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
    private boolean cutOff;

    /**
     * A shutdown that has not begun.
     *
     * @param longestDeadlineUs the longest deadline of a request under the settings in force
     * @param handover whether another process takes over the listening socket
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

    /** Begins the shutdown; to be called once. */
    public void begin() {
        sequence = new ShutdownSequence(clock.micros(), longestDeadlineUs.getAsLong(), handover);
        server.announceShutdown();
        checks.start();
    }

    /** The flags are set before the calls: a call that fails must not be repeated at each check. */
    private void check() {
        Phase phase = sequence.phase(clock.micros());
        if (!acceptingStopped && phase.compareTo(Phase.CLOSING_IDLE) >= 0) {
            acceptingStopped = true;
            server.stopAccepting();
        }
        if (phase.compareTo(Phase.ANSWERING_ALL) >= 0) {
            core.answerOpenRequests();
        }
        if (!cutOff && phase == Phase.CUTTING_OFF) {
            cutOff = true;
            LOG.log(Level.WARNING, "closing the connections of clients that do not read, {0} ms after SIGTERM",
                    Long.toString(sequence.cutOffDelayUs() / 1000));
        }
        if (acceptingStopped) {
            server.closeConnections(phase.compareTo(Phase.REJECTING) >= 0, cutOff);
        }
        if (server.isEmpty() && (acceptingStopped || handover)) {
            checks.stop();
            loop.stop();
        }
    }
}
