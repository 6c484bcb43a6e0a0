package clovermill.runtime.net;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.DatagramChannel;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/** Opens and closes the channels of the event loop; a channel that cannot be set up is closed again. */
final class Sockets {

    /** Connections that the system accepts ahead of the process, per listening socket. */
    static final int BACKLOG = 1024;

    private static final System.Logger LOG = System.getLogger(Sockets.class.getName());

    private Sockets() {}

    /** Opens a non-blocking listening socket that is bound to {@code address}. */
    static ServerSocketChannel openListening(InetSocketAddress address) throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            return channel.bind(address, BACKLOG);
        } catch (IOException | RuntimeException failure) {
            closeQuietly(channel);
            throw failure;
        }
    }

    /** Opens a non-blocking datagram socket that is bound to {@code address}. */
    static DatagramChannel openDatagram(InetSocketAddress address) throws IOException {
        DatagramChannel channel = DatagramChannel.open();
        try {
            channel.configureBlocking(false);
            return channel.bind(address);
        } catch (IOException | RuntimeException failure) {
            closeQuietly(channel);
            throw failure;
        }
    }

    /**
     * Opens a non-blocking socket and dials; the dial may be complete on return.
     *
     * @throws IOException if the dial fails at once; its cause is a RuntimeException if the address cannot be
     * dialed at all
     */
    static SocketChannel openDialling(InetSocketAddress address) throws IOException {
        SocketChannel channel = SocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.connect(address);
            return channel;
        } catch (IOException failure) {
            closeQuietly(channel);
            throw failure;
        } catch (RuntimeException badAddress) {
            closeQuietly(channel);
            throw new IOException(badAddress);
        }
    }

    /** Sends small writes at once; a socket that rejects the option (already reset) is served without it. */
    static void setNoDelay(SocketChannel channel) {
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        } catch (IOException failure) {
            LOG.log(Level.DEBUG, "TCP_NODELAY could not be set: {0}", failure.getMessage());
        }
    }

    /** Closes a connection's socket and reports it to the listener that accepted it, null for one that was dialed. */
    static void release(SocketChannel channel, Listener acceptedBy) {
        closeQuietly(channel);
        if (acceptedBy != null) {
            acceptedBy.connectionClosed();
        }
    }

    /** Closes {@code resource}; a failure is logged only. */
    static void closeQuietly(AutoCloseable resource) {
        try {
            resource.close();
        } catch (Exception failure) {
            LOG.log(Level.DEBUG, "closing failed", failure);
        }
    }
}
