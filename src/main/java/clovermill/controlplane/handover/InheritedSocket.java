package clovermill.controlplane.handover;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/**
 * The clients' listening socket if the platform opens it and passes it as descriptor 0. It belongs to the platform: a
 * process that shuts down stops accepting but does not close it. Closing the inherited channel would also redirect the
 * standard streams, and with them the log, to the null device.
 */
public final class InheritedSocket {

    /** The environment variable that contains the descriptor; set if and only if a socket is passed. */
    public static final String VARIABLE = "BALANCER_PASSED_SOCKET";

    private InheritedSocket() {}

    /**
     * Returns the socket that the platform has passed.
     *
     * @param descriptor the value of {@link #VARIABLE}, null if it is not set
     * @return the socket, null if none is passed
     * @throws IOException if the descriptor is not 0, or is not a listening TCP socket
     */
    public static ServerSocketChannel fromDescriptor(String descriptor) throws IOException {
        if (descriptor == null) {
            return null;
        }
        // The only descriptor that the JVM can inherit, as under inetd.
        Channel inherited = descriptor.strip().equals("0") ? System.inheritedChannel() : null;
        if (inherited instanceof ServerSocketChannel listening) {
            return listening;
        }
        throw new IOException(VARIABLE + "=" + descriptor + ": descriptor 0 was to be a listening TCP socket");
    }
}
