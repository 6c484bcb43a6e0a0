package clovermill.runtime.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.function.Consumer;

/** A UDP socket on the loop. It owns its channel, which {@link #close} gives back. */
public final class Datagrams implements AutoCloseable {

    /** What is read in one turn: a flood must not hold up those that are served. */
    private static final int TURN_READS = 64;

    private final DatagramChannel channel;
    private final SelectionKey key;
    private final ByteBuffer buffer;
    private final Consumer<ByteBuffer> received;
    private long unsent;

    Datagrams(DatagramChannel channel, Selector selector, ByteBuffer buffer, Consumer<ByteBuffer> received)
            throws IOException {
        this.channel = channel;
        this.buffer = buffer;
        this.received = received;
        this.key = channel.register(selector, SelectionKey.OP_READ, this);
    }

    /** The port that was bound. */
    public int port() {
        return channel.socket().getLocalPort();
    }

    /** Sends one datagram; one that cannot go out now is lost, as on any link. */
    public void send(ByteBuffer datagram, InetSocketAddress to) {
        try {
            unsent += channel.send(datagram, to) > 0 ? 0 : 1;
        } catch (IOException unreachable) {
            unsent++;
        }
    }

    /** Datagrams that could not go out. */
    public long unsent() {
        return unsent;
    }

    /** Hands on what has come; a datagram is the handler's only until it returns. */
    void read() {
        try {
            for (int i = 0; i < TURN_READS && key.isValid(); i++) {
                buffer.clear();
                if (channel.receive(buffer) == null) {
                    return;
                }
                received.accept(buffer.flip());
            }
        } catch (IOException refused) {
            // What a peer's machine sends back of an earlier datagram; nothing came.
            unsent++;
        }
    }

    @Override
    public void close() {
        EventLoop.quietly(channel);
    }
}
