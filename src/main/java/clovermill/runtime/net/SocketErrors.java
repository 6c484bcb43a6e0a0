package clovermill.runtime.net;

import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.Set;

/**
 * Classifies errors of accept and connect by the exception that Java 17 throws for each errno on Linux.
 *
 * <table>
 * <caption>Errors of accept and connect</caption>
 * <tr><th>errno</th><th>thrown</th><th>fault of</th></tr>
 * <tr><td>connect ECONNREFUSED, ETIMEDOUT</td><td>ConnectException</td><td>peer</td></tr>
 * <tr><td>connect EHOSTUNREACH</td><td>NoRouteToHostException</td><td>peer: its address is unreachable</td></tr>
 * <tr><td>connect EADDRNOTAVAIL, EADDRINUSE, EACCES</td><td>BindException</td><td>this machine</td></tr>
 * <tr><td>connect or socket ENETUNREACH, ENOBUFS, ENOMEM, ENFILE, EMFILE, EAGAIN, EPERM</td><td>SocketException</td>
 * <td>this machine</td></tr>
 * <tr><td>accept EPROTO, ENETDOWN, EHOSTUNREACH and the like</td><td>IOException with the system's text</td><td>the
 * pending connection, see accept(2)</td></tr>
 * <tr><td>accept EMFILE, ENFILE, ENOBUFS, ENOMEM</td><td>IOException with the system's text</td><td>this
 * machine</td></tr>
 * <tr><td>accept ECONNABORTED, EINTR</td><td>nothing: the JDK accepts the next one, or none</td><td></td></tr>
 * </table>
 */
public final class SocketErrors {

    /**
     * Error texts that accept(2) passes on from the pending connection; texts in another language are not recognized.
     */
    private static final Set<String> OF_ONE_CONNECTION = Set.of("Software caused connection abort",
            "Connection reset by peer", "Connection timed out", "Network is down", "Protocol error",
            "Protocol not available", "Host is down", "Machine is not on the network", "No route to host",
            "Operation not supported", "Network is unreachable", "Operation not permitted",
            "Interrupted system call");

    private SocketErrors() {}

    /**
     * Loads this class while descriptors are available: it is first used when there are none, and if classes are in a
     * folder, the JVM could not open its file then.
     */
    static void load() {}

    /**
     * Returns true if a failed dial is the peer's fault; otherwise it is a transient fault of this machine. An address
     * that cannot be dialed at all (the cause is a RuntimeException) counts as the peer's fault.
     */
    public static boolean isOfPeer(IOException dialFailure) {
        return dialFailure instanceof ConnectException || dialFailure instanceof NoRouteToHostException
                || dialFailure.getCause() instanceof RuntimeException;
    }

    /**
     * Returns true if a failed accept concerns only the first pending connection; the next may be accepted at once.
     */
    static boolean isOfOneConnection(IOException acceptFailure) {
        return acceptFailure.getMessage() != null && OF_ONE_CONNECTION.contains(acceptFailure.getMessage());
    }
}
