package clovermill.prove.scale;

import clovermill.prove.LineProtocolPeer;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import clovermill.runtime.net.Listener;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The discovery endpoint that every director polls: it has no events and answers each long poll when it times out.
 * Counts connections, and bytes plus {@link #HEADER_BYTES} for each read or write.
 */
final class DiscoveryEndpoint implements AutoCloseable {

    /** Bytes of the IPv4 and TCP headers of a segment, without options. */
    static final int HEADER_BYTES = 40;
    private static final int ACCEPT_LIMIT = 4096;

    /** Counts since the start, from the point of view of the endpoint. */
    record Counts(long segmentsIn, long bytesIn, long segmentsOut, long bytesOut) {}

    private final Clock clock = Clock.system();
    private final Deadlines deadlines = new Deadlines();
    private final EventLoop loop = new EventLoop(clock, deadlines);
    private final Listener listener;
    private final Thread thread;
    private final AtomicLong segmentsIn = new AtomicLong();
    private final AtomicLong bytesIn = new AtomicLong();
    private final AtomicLong segmentsOut = new AtomicLong();
    private final AtomicLong bytesOut = new AtomicLong();
    private volatile int connections;
    private volatile int maxConnections;

    DiscoveryEndpoint() throws IOException {
        listener = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), ACCEPT_LIMIT, () -> {},
                PollPeer::new);
        thread = new Thread(() -> {
            try {
                loop.run();
            } catch (IOException failure) {
                throw new IllegalStateException(failure);
            }
        }, "discovery");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + listener.port();
    }

    Counts counts() {
        return new Counts(segmentsIn.get(), bytesIn.get(), segmentsOut.get(), bytesOut.get());
    }

    int connections() {
        return connections;
    }

    int maxConnections() {
        return maxConnections;
    }

    long threadId() {
        return thread.getId();
    }

    @Override
    public void close() {
        loop.post(loop::stop);
    }

    private final class PollPeer extends LineProtocolPeer {

        PollPeer(Connection connection) {
            super(connection);
            connections++;
            maxConnections = Math.max(maxConnections, connections);
        }

        @Override
        public void received(ByteBuffer data) {
            segmentsIn.incrementAndGet();
            bytesIn.addAndGet(data.remaining() + HEADER_BYTES);
            super.received(data);
        }

        @Override
        protected void requestReceived(String id, String fields) {}

        @Override
        protected void pollReceived(String path) {
            long blockMs = Long.parseLong(path.replaceAll(".*block=", ""));
            String body = "{\"cursor\":" + path.replaceAll(".*resume=([0-9]+).*", "$1") + ",\"cmds\":[]}";
            String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
            deadlines.add(clock.micros() + blockMs * 1000, () -> {
                segmentsOut.incrementAndGet();
                bytesOut.addAndGet(answer.length() + HEADER_BYTES);
                sendText(answer);
            });
        }

        @Override
        public void closed(IOException cause) {
            connections--;
        }
    }
}
