package clovermill.director;

import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.ConnectionHandler;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import clovermill.runtime.net.Listener;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A fake of all endpoints and of the discovery service at one loopback address, used only by
 * {@link ClassDataArchiveRun}: answers each poll with an empty list of events and each request with an object.
 */
final class ArchiveRunPeers implements AutoCloseable {

    private static final int MAX_CONNECTIONS = 100;
    private static final Pattern REQUEST = Pattern.compile("want (\\S+) \\S+ \\d+\r\n");
    private static final Pattern POLL = Pattern.compile("resume=(\\d+)&block");

    private final EventLoop loop;
    private final Listener listener;

    /** Listens on a free port. */
    ArchiveRunPeers(Clock clock) throws IOException {
        loop = new EventLoop(clock, new Deadlines());
        listener = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MAX_CONNECTIONS, () -> {},
                Peer::new);
    }

    /** Returns the address in the form host:port, as in a configuration. */
    String address() {
        return "127.0.0.1:" + listener.port();
    }

    /** Handles received data; waits for up to {@code maxMs} if there is none. */
    void turn(long maxMs) throws IOException {
        loop.turn(maxMs);
    }

    @Override
    public void close() {
        listener.close();
    }

    private record Peer(Connection connection) implements ConnectionHandler {

        @Override
        public void received(ByteBuffer data) {
            String text = StandardCharsets.ISO_8859_1.decode(data).toString();
            Matcher poll = POLL.matcher(text);
            if (poll.find()) {
                String body = "{\"cursor\":" + poll.group(1) + ",\"cmds\":[]}";
                send("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            }
            REQUEST.matcher(text).results().forEach(request -> send(request.group(1)
                    + " DONE etag=t,made=5,res=MISS,ttfb=1 5\r\nhello\r\n"));
        }

        private void send(String text) {
            connection.send(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
        }

        @Override
        public void ended() {
            connection.close();
        }

        @Override
        public void closed(IOException cause) {}
    }
}
