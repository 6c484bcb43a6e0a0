package clovermill.prove.faults;

import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import clovermill.runtime.net.Listener;
import clovermill.prove.LinePeer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The command channel of one start of a director: HTTP long polls for numbered events, of which the director knows the
 * first one at its start. Used on the loop's thread.
 */
final class StandInChannel {

    private final Deadlines deadlines;
    private final Clock clock;
    private final Listener listener;
    private final List<String> events = new ArrayList<>();
    private Runnable waiting;

    StandInChannel(EventLoop loop, Deadlines deadlines, Clock clock) throws IOException {
        this.deadlines = deadlines;
        this.clock = clock;
        this.listener = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10, () -> {},
                Peer::new);
    }

    String address() {
        return "127.0.0.1:" + listener.port();
    }

    /** Tells an event, which is given without its number and without braces. */
    void tell(String event) {
        events.add("{\"cursor\":" + (events.size() + 2) + "," + event + "}");
        if (waiting != null) {
            waiting.run();
        }
    }

    /** One connection of the director. */
    private final class Peer extends LinePeer {

        Peer(Connection connection) {
            super(connection);
        }

        @Override
        protected void want(String id, String fields) {}

        @Override
        protected void poll(String path) {
            int resume = Integer.parseInt(path.replaceAll(".*resume=([0-9]+).*", "$1"));
            long blockMs = Long.parseLong(path.replaceAll(".*block=", ""));
            Runnable answer = () -> answer(resume);
            if (events.size() > resume - 1) {
                answer.run();
                return;
            }
            waiting = answer;
            deadlines.add(clock.micros() + blockMs * 1000, () -> {
                if (waiting == answer) {
                    answer.run();
                }
            });
        }

        private void answer(int resume) {
            waiting = null;
            int told = events.size();
            String later = String.join(",", events.subList(Math.min(told, resume - 1), told));
            String text = "{\"cursor\":" + (told + 1) + ",\"cmds\":[" + later + "]}";
            say("HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
        }
    }
}
