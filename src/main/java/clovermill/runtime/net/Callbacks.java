package clovermill.runtime.net;

import java.lang.System.Logger.Level;

/** Runs callbacks so that an exception in one stops neither the event loop nor the callbacks after it. */
final class Callbacks {

    private static final System.Logger LOG = System.getLogger(Callbacks.class.getName());

    private Callbacks() {}

    /** Runs a callback; an exception is logged. */
    static void runGuarded(Runnable callback) {
        try {
            callback.run();
        } catch (RuntimeException fault) {
            LOG.log(Level.ERROR, "a callback failed", fault);
        }
    }

    /** Runs a callback of {@code connection}; an exception is logged and closes the connection. */
    static void runGuarded(Connection connection, Runnable callback) {
        try {
            callback.run();
        } catch (RuntimeException fault) {
            LOG.log(Level.ERROR, "a connection is closed after a fault", fault);
            runGuarded(connection::close);
        }
    }
}
