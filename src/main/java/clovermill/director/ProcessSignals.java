package clovermill.director;

import clovermill.reload.Signals;
import java.lang.System.Logger.Level;
import java.util.concurrent.CountDownLatch;

/**
 * The signals of this process, heard from its first moment on: SIGHUP would end the JVM. What comes before the director
 * is there is acted on when it is.
 */
final class ProcessSignals {

    private static final System.Logger LOG = System.getLogger(ProcessSignals.class.getName());

    private final CountDownLatch left = new CountDownLatch(1);
    private Signals.Hearing hearing;
    private Assembly director;
    private boolean hungUp;
    private boolean over;
    private int status = 1;

    private ProcessSignals() {}

    static ProcessSignals hear() {
        ProcessSignals signals = new ProcessSignals();
        signals.hearing = Signals.onSignal("HUP", signals::hangUp);
        Runtime.getRuntime().addShutdownHook(new Thread(signals::leave, "departure"));
        return signals;
    }

    private synchronized void hangUp() {
        if (director == null) {
            hungUp = true;
        } else {
            director.loop().post(director.reloader()::signalled);
        }
    }

    /** The JVM ends: by SIGTERM, which has the director leave first, or as the process has ended by itself. */
    private void leave() {
        synchronized (this) {
            if (over) {
                return;
            }
            if (director == null || !director.listening()) {
                Runtime.getRuntime().halt(0); // nothing has been taken yet, and the loop may not run for seconds
            }
            director.loop().post(director::leave);
        }
        try {
            left.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        // Without this the status would be that of the signal; one that has left as asked gives 0.
        Runtime.getRuntime().halt(status());
    }

    private synchronized int status() {
        return status;
    }

    /** From now on signals are the director's; its loop must run, or {@link #ended} be called. */
    synchronized void serves(Assembly served) {
        director = served;
        if (hungUp) {
            director.loop().post(director.reloader()::signalled);
        }
        if (hearing != Signals.Hearing.HEARD) {
            LOG.log(Level.WARNING, "SIGHUP is {0} in this process (nohup does that): the configuration file is"
                    + " looked at for changes instead", hearing == Signals.Hearing.IGNORED ? "ignored" : "unavailable");
            director.loop().post(director.reloader()::watchAlways);
        }
        if (Signals.hearing("TERM") == Signals.Hearing.IGNORED) {
            LOG.log(Level.WARNING, "SIGTERM is ignored in this process: it cannot be asked to leave, and what is"
                    + " open when it is killed is lost");
        }
    }

    /** The director has left, or never came to serve: nothing is waited for any more. */
    synchronized void ended(boolean asAsked) {
        over = true;
        status = asAsked ? 0 : 1;
        left.countDown();
    }
}
