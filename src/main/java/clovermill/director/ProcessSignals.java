package clovermill.director;

import clovermill.controlplane.reload.Signals;
import java.lang.System.Logger.Level;
import java.util.concurrent.CountDownLatch;

/**
 * The POSIX signals of this process: SIGHUP reloads the configuration, SIGTERM begins the graceful shutdown. Handlers
 * are installed first of all, since the default of SIGHUP ends the JVM; a SIGHUP that comes before the director is
 * built is applied once it is. Thread-safe.
 */
final class ProcessSignals {

    private static final System.Logger LOG = System.getLogger(ProcessSignals.class.getName());

    private final CountDownLatch processEnded = new CountDownLatch(1);
    private Signals.Delivery hangUpDelivery;
    private Assembly director;
    private boolean hangUpPending;
    private boolean ended;
    private int exitStatus = 1;

    private ProcessSignals() {}

    /** Installs the handlers. */
    static ProcessSignals install() {
        ProcessSignals signals = new ProcessSignals();
        signals.hangUpDelivery = Signals.onSignal("HUP", signals::onHangUp);
        Runtime.getRuntime().addShutdownHook(new Thread(signals::onTermination, "shutdown"));
        return signals;
    }

    private synchronized void onHangUp() {
        if (director == null) {
            hangUpPending = true;
        } else {
            director.loop().post(director.reloader()::reload);
        }
    }

    /** The JVM's shutdown hook: runs at SIGTERM, and when the process ends by itself. */
    private void onTermination() {
        synchronized (this) {
            if (ended) {
                return;
            }
            if (director == null || !director.listening()) {
                Runtime.getRuntime().halt(0); // no client was accepted, and the loop may not run for seconds
            }
            director.loop().post(director::shutDown);
        }
        try {
            processEnded.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        // Without this the status would be that of the signal; a completed shutdown gives 0.
        Runtime.getRuntime().halt(exitStatus());
    }

    private synchronized int exitStatus() {
        return exitStatus;
    }

    /** Passes signals to {@code started} from now on; its loop must run, or {@link #markEnded} be called. */
    synchronized void passTo(Assembly started) {
        director = started;
        if (hangUpPending) {
            director.loop().post(director.reloader()::reload);
        }
        if (hangUpDelivery != Signals.Delivery.DELIVERED) {
            LOG.log(Level.WARNING, "SIGHUP is {0} in this process (nohup does that): the configuration file is"
                    + " polled for changes instead",
                    hangUpDelivery == Signals.Delivery.IGNORED ? "ignored" : "unavailable");
            director.loop().post(director.reloader()::pollAlways);
        }
        if (Signals.probe("TERM") == Signals.Delivery.IGNORED) {
            LOG.log(Level.WARNING, "SIGTERM is ignored in this process: it cannot be shut down gracefully, and requests"
                    + " open when it is killed are lost");
        }
    }

    /** The director has shut down ({@code completed}) or could not start; the shutdown hook stops waiting. */
    synchronized void markEnded(boolean completed) {
        ended = true;
        exitStatus = completed ? 0 : 1;
        processEnded.countDown();
    }
}
