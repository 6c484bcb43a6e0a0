package clovermill.runtime.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.function.Consumer;

/** A UDP socket of the event loop. It owns its channel, which {@link #close} closes. */
public final class Datagrams implements AutoCloseable {

    /** Limit of one turn: a flood of datagrams must not delay the connections. */
    private static final int MAX_READS_PER_TURN = 64;

    private final DatagramChannel channel;
    private final SelectionKey key;
    private final ByteBuffer buffer;
    private final Consumer<ByteBuffer> receiver;
    private long unsent;

    Datagrams(DatagramChannel channel, Selector selector, ByteBuffer buffer, Consumer<ByteBuffer> receiver)
            throws IOException {
        this.channel = channel;
        this.buffer = buffer;
        this.receiver = receiver;
        this.key = channel.register(selector, SelectionKey.OP_READ, this);
    }

    /** Returns the local port. */
    public int port() {
        return channel.socket().getLocalPort();
    }

    /** Sends one datagram; if the socket does not accept it now, it is counted as unsent and lost. */
    public void send(ByteBuffer datagram, InetSocketAddress to) {
        try {
            unsent += channel.send(datagram, to) > 0 ? 0 : 1;
        } catch (IOException unreachable) {
            unsent++;
        }
    }

    /** Returns the number of datagrams lost on this side since the start. */
    public long unsent() {
        return unsent;
    }

    /** Delivers received datagrams, up to the limit of one turn; the buffer is reused after each call. */
    void read() {
        try {
            for (int i = 0; i < MAX_READS_PER_TURN && key.isValid(); i++) {
                buffer.clear();
                if (channel.receive(buffer) == null) {
                    return;
                }
                receiver.accept(buffer.flip());
            }
        } catch (IOException icmpError) {
            // An ICMP error for an earlier datagram; nothing was received.
            unsent++;
        }
    }

    @Override
    public void close() {
        Sockets.closeQuietly(channel);
    }
}
