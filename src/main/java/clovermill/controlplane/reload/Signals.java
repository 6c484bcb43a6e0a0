package clovermill.controlplane.reload;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

/**
 * Signals of POSIX as the JVM gives them. The one way to hear of them is a class that the compiler warns of, so
 * it is named at run time. A process may inherit a signal as ignored (nohup does that with SIGHUP); the JVM then
 * drops the registration of a handler without an error, which shows only in the handler it names as replaced.
 */
public final class Signals {

    /** What became of a wish to hear a signal. */
    public enum Hearing {
        /** The task runs at each signal. */
        HEARD,
        /** Whoever started the process had the signal ignored; it will never come. */
        IGNORED,
        /** This JVM offers no signals of that name. */
        UNAVAILABLE
    }

    private Signals() {}

    /** Has {@code task} run, on a thread of the JVM, at each signal of that name (HUP, say). */
    public static Hearing onSignal(String name, Runnable task) {
        return handle(name, task, false);
    }

    /** Whether a signal could be heard; the handler in force stays. */
    public static Hearing hearing(String name) {
        return handle(name, () -> {}, true);
    }

    private static Hearing handle(String name, Runnable task, boolean putBack) {
        try {
            Class<?> type = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object called = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler},
                    (self, method, args) -> {
                        task.run();
                        return null;
                    });
            Object signal = type.getConstructor(String.class).newInstance(name);
            Object replaced = type.getMethod("handle", type, handler).invoke(null, signal, called);
            if (replaced == handler.getField("SIG_IGN").get(null)) {
                return Hearing.IGNORED;
            }
            if (putBack) {
                type.getMethod("handle", type, handler).invoke(null, signal, replaced);
            }
            return Hearing.HEARD;
        } catch (InvocationTargetException | IllegalArgumentException refused) {
            return Hearing.UNAVAILABLE; // an unknown name, or one that the JVM keeps for itself
        } catch (ReflectiveOperationException missing) {
            return Hearing.UNAVAILABLE;
        }
    }
}
