package clovermill.controlplane.reload;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

/**
 * Handles POSIX signals. The JVM's only interface for this is a class that the compiler warns of, so it is looked up at
 * run time. A process may inherit a signal as ignored (from nohup in the case of SIGHUP); the JVM then ignores the
 * registration of a handler without an error, which can be detected only by the replaced handler that it returns.
 */
public final class Signals {

    /** The delivery of a signal to its handler. */
    public enum Delivery {
        /** The handler runs on each signal. */
        DELIVERED,
        /** The process was started with the signal ignored; it is never delivered. */
        IGNORED,
        /** This JVM cannot handle a signal of that name. */
        UNAVAILABLE
    }

    private Signals() {}

    /** Runs {@code task} on a thread of the JVM on each signal of that name ({@code HUP}, for example). */
    public static Delivery onSignal(String name, Runnable task) {
        return handle(name, task, false);
    }

    /** Returns whether a signal would be delivered; the handler in force remains installed. */
    public static Delivery probe(String name) {
        return handle(name, () -> {}, true);
    }

    private static Delivery handle(String name, Runnable task, boolean restore) {
        try {
            Class<?> type = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object installed = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler},
                    (self, method, args) -> {
                        task.run();
                        return null;
                    });
            Object signal = type.getConstructor(String.class).newInstance(name);
            Object replaced = type.getMethod("handle", type, handler).invoke(null, signal, installed);
            if (replaced == handler.getField("SIG_IGN").get(null)) {
                return Delivery.IGNORED;
            }
            if (restore) {
                type.getMethod("handle", type, handler).invoke(null, signal, replaced);
            }
            return Delivery.DELIVERED;
        } catch (InvocationTargetException | IllegalArgumentException unsupported) {
            return Delivery.UNAVAILABLE; // an unknown name, or one that the JVM reserves
        } catch (ReflectiveOperationException missing) {
            return Delivery.UNAVAILABLE;
        }
    }
}
