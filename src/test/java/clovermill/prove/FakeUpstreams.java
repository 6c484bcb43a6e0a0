package clovermill.prove;

import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import clovermill.runtime.net.Listener;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ToIntFunction;

/**
 * Fakes of all upstreams of a director, at one address and on one thread: members that respond to each request with a
 * body whose size depends on the object, and a command channel without events. Counts how often each order ran.
 */
public final class FakeUpstreams implements AutoCloseable {

    private final Deadlines deadlines = new Deadlines();
    private final Clock clock = Clock.system();
    private final EventLoop loop;
    private final Listener listener;
    private final byte[] filler = new byte[240_000];
    /** Execution counts of orders by idempotency key. */
    final Map<String, AtomicLong> orders = new ConcurrentHashMap<>();

    private final ToIntFunction<String> bodySizes;

    FakeUpstreams() throws IOException {
        this(FakeUpstreams::bodySize);
    }

    /** Starts fakes with a function that maps an object's digits to its body size, at most that of the filler. */
    public FakeUpstreams(ToIntFunction<String> bodySizes) throws IOException {
        this.bodySizes = bodySizes;
        Arrays.fill(filler, (byte) 'x');
        loop = new EventLoop(clock, deadlines);
        listener =
                loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1000, () -> {}, FakePeer::new);
        Thread thread = new Thread(() -> {
            try {
                loop.run();
            } catch (IOException failure) {
                throw new IllegalStateException(failure);
            }
        }, "fake-upstreams");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the address as host and port. */
    public String address() {
        return "127.0.0.1:" + listener.port();
    }

    /** Returns the body size of an object by its first digits: 200 bytes to 66 kB. */
    static int bodySize(String object) {
        return 200 + Integer.parseInt(object.substring(0, 4), 16);
    }

    private final class FakePeer extends LineProtocolPeer {
        FakePeer(Connection connection) {
            super(connection);
        }

        @Override
        protected void requestReceived(String id, String fields) {
            String object = field(fields, "obj");
            String token = field(fields, "token");
            if (token != null) {
                orders.computeIfAbsent(token, key -> new AtomicLong()).incrementAndGet();
            }
            int size = token == null ? bodySizes.applyAsInt(object) : 20;
            String result = object.charAt(15) % 2 == 0 || field(fields, "src") == null ? "HIT" : "MISS";
            sendText(id + " DONE etag=t,made=" + clock.unixMillis() + ",res=" + result + ",ttfb=0 " + size + "\r\n");
            connection.send(ByteBuffer.wrap(filler, 0, size));
            sendText("\r\n");
        }

        @Override
        protected void pollReceived(String path) {
            long blockMs = Long.parseLong(path.replaceAll(".*block=", ""));
            String body = "{\"cursor\":" + path.replaceAll(".*resume=([0-9]+).*", "$1") + ",\"cmds\":[]}";
            deadlines.add(clock.micros() + blockMs * 1000,
                    () -> sendText("HTTP/1.1 200 OK\r\nContent-Length: " + body.length()
                            + "\r\n\r\n" + body));
        }
    }

    @Override
    public void close() {
        loop.post(loop::stop);
    }
}
