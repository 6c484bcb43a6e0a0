import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The command channel of one director: numbered events by long poll. An answer is written {@code slowMs} after it was
 * due, and one for which its director has not waited is dropped with the connection.
 */
final class Channel {

    private final Loop loop;
    private final ServerSocketChannel server;
    private final List<String> events = new ArrayList<>();
    private final List<Poll> waiting = new ArrayList<>();
    /** How much later than it is due an answer is written, in milliseconds. */
    volatile double slowMs;
    volatile int polls;
    volatile int answers;

    Channel(Loop loop) throws IOException {
        this.loop = loop;
        this.server = loop.listen(Poll::new);
    }

    int port() {
        return Loop.port(server);
    }

    /** Adds an event, such as {@code "nodes":{...}}; on the loop's thread. Returns its number. */
    int tell(String event) {
        events.add("{\"cursor\":" + (events.size() + 1) + "," + event + "}");
        List.copyOf(waiting).forEach(Poll::answer);
        return events.size();
    }

    /** All events so far, as {@code known} in a configuration. */
    String known() {
        return text(0);
    }

    private String text(int after) {
        return "{\"cursor\":" + events.size() + ",\"cmds\":["
                + String.join(",", events.subList(Math.min(after, events.size()), events.size())) + "]}";
    }

    private final class Poll implements Loop.Handler {
        private final Loop.Conn conn;
        private String held = "";
        private int resume;
        private Loop.Timer due;

        Poll(Loop.Conn conn) {
            this.conn = conn;
        }

        @Override
        public void received(ByteBuffer data) {
            held += StandardCharsets.ISO_8859_1.decode(data);
            int end = held.indexOf("\r\n\r\n");
            if (end < 0) {
                return;
            }
            String head = held.substring(0, end);
            held = held.substring(end + 4);
            polls++;
            resume = Integer.parseInt(head.replaceAll("(?s).*resume=(\\d+).*", "$1"));
            int block = Math.min(5000, Integer.parseInt(head.replaceAll("(?s).*block=(\\d+).*", "$1")));
            if (events.size() > resume) {
                answer();
            } else {
                waiting.add(this);
                due = loop.after(block, this::answer);
            }
        }

        private void answer() {
            waiting.remove(this);
            if (due != null) {
                due.cancel();
                due = null;
            }
            String body = text(resume);
            String answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                    + "\r\n\r\n" + body;
            Runnable write = () -> {
                if (conn.open) {
                    answers++;
                    conn.send(Lines.text(answer));
                }
            };
            if (slowMs > 0) {
                loop.after(slowMs, write);
            } else {
                write.run();
            }
        }

        @Override
        public void ended() {
            waiting.remove(this);
            if (due != null) {
                due.cancel();
            }
        }
    }
}
