package clovermill.director;

import clovermill.controlplane.reload.Signals;
import java.lang.System.Logger.Level;
import java.util.concurrent.CountDownLatch;

/**
 * The POSIX signals of this process: SIGHUP reloads the configuration, SIGTERM begins the graceful shutdown. The
 * handlers are installed before anything else, since SIGHUP ends the JVM by default; a SIGHUP that arrives before the
 * director is built is applied afterwards. Thread-safe.
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

    /** The JVM's shutdown hook: runs at SIGTERM and at any other exit of the process. */
    private void onTermination() {
        synchronized (this) {
            if (ended) {
                return;
            }
            if (director == null || !director.listening()) {
                Runtime.getRuntime().halt(0); // no client was accepted, and the loop may not start for seconds
            }
            director.loop().post(director::shutDown);
        }
        try {
            processEnded.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        // Otherwise the exit status would be that of the signal; a completed shutdown exits with 0.
        Runtime.getRuntime().halt(exitStatus());
    }

    private synchronized int exitStatus() {
        return exitStatus;
    }

    /** Passes signals to {@code started} from now on; its loop must be run, or {@link #markEnded} called. */
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

    /**
     * Releases the shutdown hook.
     *
     * @param completed true if the director has shut down, false if it failed or could not start
     */
    synchronized void markEnded(boolean completed) {
        ended = true;
        exitStatus = completed ? 0 : 1;
        processEnded.countDown();
    }
}
