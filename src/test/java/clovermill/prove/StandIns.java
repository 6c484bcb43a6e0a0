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
 * All that a director talks to, at one address and on one thread: members that answer each request with a body
 * whose size follows from the object, and a command channel without news. Counts how often each order ran.
 */
public final class StandIns implements AutoCloseable {

    private final Deadlines deadlines = new Deadlines();
    private final Clock clock = Clock.system();
    private final EventLoop loop;
    private final Listener listener;
    private final byte[] filler = new byte[240_000];
    /** Orders by their idempotency key. */
    final Map<String, AtomicLong> orders = new ConcurrentHashMap<>();

    private final ToIntFunction<String> sizes;

    StandIns() throws IOException {
        this(StandIns::size);
    }

    /** Members whose bodies have sizes that follow from an object's digits; at most those of the filler. */
    public StandIns(ToIntFunction<String> sizes) throws IOException {
        this.sizes = sizes;
        Arrays.fill(filler, (byte) 'x');
        loop = new EventLoop(clock, deadlines);
        listener = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1000, () -> {}, Peer::new);
        Thread thread = new Thread(() -> {
            try {
                loop.run();
            } catch (IOException failure) {
                throw new IllegalStateException(failure);
            }
        }, "stand-ins");
        thread.setDaemon(true);
        thread.start();
    }

    /** The address as host and port. */
    public String address() {
        return "127.0.0.1:" + listener.port();
    }

    /** The size of an object's parts: from its first digits, 200 bytes to 66 kB. */
    static int size(String object) {
        return 200 + Integer.parseInt(object.substring(0, 4), 16);
    }

    private final class Peer extends LinePeer {
        Peer(Connection connection) {
            super(connection);
        }

        @Override
        protected void want(String id, String fields) {
            String object = field(fields, "obj");
            String token = field(fields, "token");
            if (token != null) {
                orders.computeIfAbsent(token, key -> new AtomicLong()).incrementAndGet();
            }
            int size = token == null ? sizes.applyAsInt(object) : 20;
            String how = object.charAt(15) % 2 == 0 || field(fields, "src") == null ? "HIT" : "MISS";
            say(id + " DONE etag=t,made=" + clock.unixMillis() + ",res=" + how + ",ttfb=0 " + size + "\r\n");
            connection.send(ByteBuffer.wrap(filler, 0, size));
            say("\r\n");
        }

        @Override
        protected void poll(String path) {
            long block = Long.parseLong(path.replaceAll(".*block=", ""));
            String body = "{\"cursor\":" + path.replaceAll(".*resume=([0-9]+).*", "$1") + ",\"cmds\":[]}";
            deadlines.add(clock.micros() + block * 1000, () -> say("HTTP/1.1 200 OK\r\nContent-Length: " + body.length()
                    + "\r\n\r\n" + body));
        }
    }

    @Override
    public void close() {
        loop.post(loop::stop);
    }
}
