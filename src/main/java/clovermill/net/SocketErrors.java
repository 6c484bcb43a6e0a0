package clovermill.net;

import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.Set;

/**
 * The one place that sorts the errors of accepting and dialling, by what Java 17 makes of the system's errno on Linux.
 *
 * <table>
 * <caption>Errors of accept and connect</caption>
 * <tr><th>errno</th><th>thrown</th><th>whose</th></tr>
 * <tr><td>connect ECONNREFUSED, ETIMEDOUT</td><td>ConnectException</td><td>peer</td></tr>
 * <tr><td>connect EHOSTUNREACH</td><td>NoRouteToHostException</td><td>peer: nobody answers at its address</td></tr>
 * <tr><td>connect EADDRNOTAVAIL, EADDRINUSE, EACCES</td><td>BindException</td><td>this machine</td></tr>
 * <tr><td>connect or socket ENETUNREACH, ENOBUFS, ENOMEM, ENFILE, EMFILE, EAGAIN, EPERM</td><td>SocketException</td>
 * <td>this machine</td></tr>
 * <tr><td>accept EPROTO, ENETDOWN, EHOSTUNREACH and the like</td><td>IOException with the system's text</td><td>the
 * connection that waited, as accept(2) says</td></tr>
 * <tr><td>accept EMFILE, ENFILE, ENOBUFS, ENOMEM</td><td>IOException with the system's text</td><td>this
 * machine</td></tr>
 * <tr><td>accept ECONNABORTED, EINTR</td><td>nothing: the JDK accepts on, or finds none now</td><td></td></tr>
 * </table>
 */
public final class SocketErrors {

    /**
     * Texts of the errors that accept(2) passes on from the connection that waited; in another language none is known.
     */
    private static final Set<String> OF_ONE_CONNECTION = Set.of("Software caused connection abort",
            "Connection reset by peer", "Connection timed out", "Network is down", "Protocol error",
            "Protocol not available", "Host is down", "Machine is not on the network", "No route to host",
            "Operation not supported", "Network is unreachable", "Operation not permitted",
            "Interrupted system call");

    private SocketErrors() {}

    /**
     * Loads this class while descriptors are left: it is needed first when there are none, and where classes lie in a
     * folder the JVM could not open its file then.
     */
    static void load() {}

    /**
     * Whether a dial that failed speaks against the peer; otherwise it is trouble of this machine that may pass, and
     * says nothing of the peer. An address that cannot be dialled at all (cause a RuntimeException) is the peer's.
     */
    public static boolean isOfPeer(IOException dialFailure) {
        return dialFailure instanceof ConnectException || dialFailure instanceof NoRouteToHostException
                || dialFailure.getCause() instanceof RuntimeException;
    }

    /**
     * Whether a failed accept speaks of the one connection that waited first, so that the next may be accepted at once.
     */
    static boolean isOfOneConnection(IOException acceptFailure) {
        return acceptFailure.getMessage() != null && OF_ONE_CONNECTION.contains(acceptFailure.getMessage());
    }
}
