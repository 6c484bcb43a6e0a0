package clovermill.controlplane.handover;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/**
 * The clients' listening socket where the platform holds it and passes it as descriptor 0. It belongs to the
 * platform: a process that shuts down stops accepting but does not close it. Closing the inherited channel would also
 * redirect the standard streams, and with them the log, to nothing.
 */
public final class InheritedSocket {

    /** The environment variable that names the descriptor; set exactly where a socket is passed. */
    public static final String VARIABLE = "BALANCER_PASSED_SOCKET";

    private InheritedSocket() {}

    /**
     * The socket that the platform has passed.
     *
     * @param named the value of {@link #VARIABLE}, null where it is not set
     * @return the socket, null where none is passed
     * @throws IOException if another descriptor than 0 is named, or that one is no listening TCP socket
     */
    public static ServerSocketChannel take(String named) throws IOException {
        if (named == null) {
            return null;
        }
        // The only descriptor that the JVM can inherit, as under inetd.
        Channel inherited = named.strip().equals("0") ? System.inheritedChannel() : null;
        if (inherited instanceof ServerSocketChannel listening) {
            return listening;
        }
        throw new IOException(VARIABLE + "=" + named + ": descriptor 0 was to be a listening TCP socket");
    }
}
