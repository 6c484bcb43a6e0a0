package clovermill.controlplane.handover;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/**
 * The clients' listening socket where the platform holds it and hands it down as descriptor 0. It belongs to the
 * platform: a process that is done with it stops to accept and leaves its descriptor to its end. Closing the
 * inherited channel would also point the standard streams, and with them the log, at nothing.
 */
public final class InheritedSocket {

    /** Names the descriptor; set exactly where a socket is handed down. */
    public static final String VARIABLE = "BALANCER_PASSED_SOCKET";

    private InheritedSocket() {}

    /**
     * Takes the socket over if {@code named} is not null, else returns null.
     *
     * @throws IOException if another descriptor than 0 is named, or that one is no listening TCP socket
     */
    public static ServerSocketChannel take(String named) throws IOException {
        if (named == null) {
            return null;
        }
        // The one descriptor that the JVM can take over, as under inetd.
        Channel inherited = named.strip().equals("0") ? System.inheritedChannel() : null;
        if (inherited instanceof ServerSocketChannel listening) {
            return listening;
        }
        throw new IOException(VARIABLE + "=" + named + ": descriptor 0 was to be a listening TCP socket");
    }
}
