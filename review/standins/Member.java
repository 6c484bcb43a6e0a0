import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A cache, a hub cache or the origin. It keeps what it is told to keep, answers a request after {@link #hitMs} or, where
 * it is filled, {@link #fillMs}, and gives none of its copies that is older than the request allows.
 */
class Member {

    final String id;
    final boolean origin;
    final Loop loop;
    private ServerSocketChannel server;
    private final Map<String, Long> copies = new HashMap<>();
    private final Set<Peer> peers = new HashSet<>();
    private final Record record;
    double hitMs = 5;
    double fillMs = 25;
    int bodyBytes = 4000;

    Member(Loop loop, Record record, String id, boolean origin) throws IOException {
        this.loop = loop;
        this.record = record;
        this.id = id;
        this.origin = origin;
        this.server = loop.listen(Peer::new);
    }

    int port() {
        return Loop.port(server);
    }

    /** Called with each request that arrives whole, before it is answered. */
    void arrived(Lines.Want want) {}

    /** Writes an answer that is good; a case may write another in its place. */
    void write(Peer peer, Lines.Want want, String result, long madeMs, double waitedMs, byte[] body) {
        peer.answer(want.id(), "DONE", "etag=" + tag(want, madeMs) + ",made=" + madeMs + ",res=" + result + ",ttfb="
                + waitedMs, body);
    }

    private static String tag(Lines.Want want, long madeMs) {
        return String.format("%016x", want.field("obj").hashCode() * 31L + madeMs);
    }

    /** How long a request for what is held takes, and how long one that is filled takes. */
    double millis(Lines.Want want, boolean held) {
        return held ? hitMs : fillMs;
    }

    final class Peer extends Lines {
        private final Map<String, Loop.Timer> open = new HashMap<>();

        Peer(Loop.Conn conn) {
            super(conn);
            peers.add(this);
        }

        @Override
        void want(Want want) {
            record.line(id + " got " + want.id() + " " + want.fields());
            arrived(want);
            String part = want.field("obj") + "/" + want.field("seg");
            Long copy = copies.get(part);
            long maxAge = Long.parseLong(want.fields().getOrDefault("maxage", "0"));
            boolean held = !origin && copy != null && (maxAge == 0 || System.currentTimeMillis() - copy <= maxAge);
            boolean filled = origin || want.field("src") != null && !want.field("src").equals(id);
            if (!held && !filled) {
                record.line(id + " answers " + want.id() + " LACK");
                answer(want.id(), "LACK", "-", new byte[0]);
                return;
            }
            double ms = millis(want, held);
            open.put(want.id(), loop.after(ms, () -> {
                open.remove(want.id());
                long made = held ? copy : System.currentTimeMillis();
                if (!held && want.field("keep") != null) {
                    copies.put(part, made);
                }
                record.line(id + " has run " + want.id() + (held ? ", a hit" : ", filled"));
                write(this, want, held ? "HIT" : "MISS_ORIGIN", made, held ? 0.0 : Math.max(0, fillMs - hitMs),
                        want.field("token") != null ? new byte[20] : new byte[bodyBytes]);
            }));
        }

        @Override
        void neverMind(String wanted) {
            record.line(id + " is told never_mind " + wanted);
            Loop.Timer timer = open.remove(wanted);
            if (timer != null) {
                timer.cancel();
            }
        }

        @Override
        public void ended() {
            open.values().forEach(Loop.Timer::cancel);
            open.clear();
            peers.remove(this);
        }
    }
}
