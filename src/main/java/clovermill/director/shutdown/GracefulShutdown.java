package clovermill.director.shutdown;

import clovermill.dataplane.proxy.ProxyCore;
import clovermill.dataplane.server.ClientServer;
import clovermill.director.shutdown.decide.ShutdownSequence;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import clovermill.runtime.net.RecurringTask;
import java.lang.System.Logger.Level;
import java.util.function.LongSupplier;

/**
 * A planned end: clients are told to go and served meanwhile, each connection is closed when nothing is open on it, and
 * the loop stops when none is left, so that no client finds a socket of a process that is about to end.
 */
public final class GracefulShutdown {

    private static final System.Logger LOG = System.getLogger(GracefulShutdown.class.getName());
    private static final long CHECK_US = 10_000;

    private final EventLoop loop;
    private final Clock clock;
    private final ClientServer front;
    private final ProxyCore host;
    private final LongSupplier longestUs;
    private final boolean handsOver;
    private final RecurringTask checking;
    private ShutdownSequence farewell;
    private boolean shut;
    private boolean cut;

    /** {@code longestUs} gives the longest deadline of a request; {@code handsOver} where another process follows. */
    public GracefulShutdown(EventLoop loop, Clock clock, Deadlines deadlines, ClientServer front, ProxyCore host,
            LongSupplier longestUs,
            boolean handsOver) {
        this.longestUs = longestUs;
        this.handsOver = handsOver;
        this.loop = loop;
        this.clock = clock;
        this.front = front;
        this.host = host;
        this.checking = new RecurringTask(deadlines, clock, CHECK_US, this::check);
    }

    /** Begins the end; once is enough. */
    public void begin() {
        farewell = new ShutdownSequence(clock.micros(), longestUs.getAsLong(), handsOver);
        front.announceShutdown();
        checking.start();
    }

    private void check() {
        ShutdownSequence.Step step = farewell.at(clock.micros());
        if (!shut && step.compareTo(ShutdownSequence.Step.ENDS_IDLE) >= 0) {
            shut = true;
            front.stopAccepting();
        }
        if (step.compareTo(ShutdownSequence.Step.ANSWERS_ALL) >= 0) {
            host.answerOpenRequests();
        }
        if (!cut && step == ShutdownSequence.Step.CUTS_OFF) {
            cut = true;
            LOG.log(Level.WARNING, "clients that do not read are cut off, {0} ms after the signal to leave",
                    Long.toString(farewell.mostUs() / 1000));
        }
        if (shut) {
            front.closeConnections(step.compareTo(ShutdownSequence.Step.TURNS_AWAY) >= 0, cut);
        }
        if (front.isEmpty() && (shut || handsOver)) {
            checking.stop();
            loop.stop();
        }
    }
}
