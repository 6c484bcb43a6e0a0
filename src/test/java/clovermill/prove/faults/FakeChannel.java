package clovermill.prove.faults;

import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import clovermill.runtime.net.Listener;
import clovermill.prove.LineProtocolPeer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * A fake command channel for one start of a director: HTTP long polls for numbered events, the first of which the
 * director has from its configuration. Used on the event loop's thread.
 */
final class FakeChannel {

    private final Deadlines deadlines;
    private final Clock clock;
    private final Listener listener;
    private final List<String> events = new ArrayList<>();
    private Runnable waiting;

    FakeChannel(EventLoop loop, Deadlines deadlines, Clock clock) throws IOException {
        this.deadlines = deadlines;
        this.clock = clock;
        this.listener = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10, () -> {},
                Peer::new);
    }

    String address() {
        return "127.0.0.1:" + listener.port();
    }

    /** Publishes an event, which is passed without its number and without braces. */
    void publish(String event) {
        events.add("{\"cursor\":" + (events.size() + 2) + "," + event + "}");
        if (waiting != null) {
            waiting.run();
        }
    }

    /** One connection of the director. */
    private final class Peer extends LineProtocolPeer {

        Peer(Connection connection) {
            super(connection);
        }

        @Override
        protected void requestReceived(String id, String fields) {}

        @Override
        protected void pollReceived(String path) {
            int resume = Integer.parseInt(path.replaceAll(".*resume=([0-9]+).*", "$1"));
            long blockMs = Long.parseLong(path.replaceAll(".*block=", ""));
            Runnable respond = () -> respond(resume);
            if (events.size() > resume - 1) {
                respond.run();
                return;
            }
            waiting = respond;
            deadlines.add(clock.micros() + blockMs * 1000, () -> {
                if (waiting == respond) {
                    respond.run();
                }
            });
        }

        private void respond(int resume) {
            waiting = null;
            int published = events.size();
            String laterEvents = String.join(",", events.subList(Math.min(published, resume - 1), published));
            String text = "{\"cursor\":" + (published + 1) + ",\"cmds\":[" + laterEvents + "]}";
            sendText("HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
        }
    }
}
