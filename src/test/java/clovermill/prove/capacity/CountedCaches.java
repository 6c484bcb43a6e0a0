package clovermill.prove.capacity;

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
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

/**
 * So many stand-in caches, each at a port of its own, a parent and an origin, and the discovery endpoint of one
 * director. Caches hold copies and take only so many requests at once; connections and bytes of lists are counted. One
 * thread plays all of them.
 */
final class CountedCaches implements AutoCloseable {

    private static final int BODY_BYTES = 4_000;
    private static final long HIT_US = 5_000;
    private static final long FILL_US = 20_000;
    private static final int PARENT_ROOM = 1_000;
    private static final int MOST_CONNECTIONS = 1_000;

    /** A member of the list. */
    private final class Member {
        private final String id;
        private final String kind;
        private final int room;
        private final long startedMs;
        private final Listener listener;
        private final Set<String> copies = new HashSet<>();
        private int open;

        Member(String id, String kind, int room, long startedMs) throws IOException {
            this.id = id;
            this.kind = kind;
            this.room = room;
            this.startedMs = startedMs;
            this.listener = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MOST_CONNECTIONS,
                    () -> {}, connection -> new CachePeer(connection, this));
        }

        String entry(String state) {
            return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + listener.port() + "\",\"zone\":\""
                    + (kind.equals("std") ? "edge" : "north") + "\",\"kind\":\"" + kind + "\",\"cell\":1,\"state\":\""
                    + state + "\",\"weight\":" + room + ",\"started_ms\":" + startedMs + "}";
        }
    }

    private final Clock clock = Clock.system();
    private final Deadlines deadlines = new Deadlines();
    private final EventLoop loop = new EventLoop(clock, deadlines);
    private final ByteBuffer body = ByteBuffer.wrap(new byte[BODY_BYTES]).asReadOnlyBuffer();
    private final Member parent = new Member("p-1", "parent", PARENT_ROOM, 0);
    private final Member origin = new Member("o-1", "origin", PARENT_ROOM, 0);
    private final Listener discovery;
    private final int room;
    /** Caches that are ready, eldest first, and those that drain. */
    private final Deque<Member> ready = new ArrayDeque<>();
    private final List<Member> draining = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private Runnable waiting;
    private int named;
    private volatile long connections;
    private volatile long listBytes;

    /** So many warm caches that have room for so many requests at once each. */
    CountedCaches(int caches, int room) throws IOException {
        this.room = room;
        for (int i = 0; i < caches; i++) {
            ready.add(new Member("s-" + ++named, "std", room, 0));
        }
        discovery = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MOST_CONNECTIONS, () -> {},
                Watch::new);
        Thread thread = new Thread(this::run, "counted-caches");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            loop.run();
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    private <T> T ask(Callable<T> what) throws InterruptedException, ExecutionException {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.post(() -> {
            try {
                result.complete(what.call());
            } catch (Exception failure) {
                result.completeExceptionally(failure);
            }
        });
        return result.get();
    }

    /** The address of the discovery endpoint, and the list that a director knows at its start. */
    Map.Entry<String, String> channel() throws Exception {
        return ask(() -> {
            StringBuilder all = new StringBuilder();
            ready.forEach(member -> all.append(member.entry("ready")).append(','));
            all.append(parent.entry("ready")).append(',').append(origin.entry("ready"));
            return Map.entry("127.0.0.1:" + discovery.port(), "{\"cursor\":1,\"cmds\":[{\"cursor\":1,\"nodes\":"
                    + "{\"version\":1,\"full\":true,\"servers\":[" + all + "]}}]}");
        });
    }

    /** Caches that drain are gone, so many of the eldest begin to drain, and as many new ones start. */
    void replace(int caches) throws Exception {
        ask(() -> {
            draining.forEach(member -> tell(member.entry("gone")));
            draining.clear();
            for (int i = 0; i < caches; i++) {
                Member old = ready.remove();
                draining.add(old);
                tell(old.entry("draining"));
                Member next = new Member("s-" + ++named, "std", room, clock.unixMillis());
                ready.add(next);
                tell(next.entry("ready"));
            }
            return null;
        });
    }

    /** Connections that caches, parent and origin have accepted so far. */
    long connections() {
        return connections;
    }

    /** Bytes that the discovery endpoint has sent so far. */
    long listBytes() {
        return listBytes;
    }

    private void tell(String server) {
        int cursor = events.size() + 2;
        events.add("{\"cursor\":" + cursor + ",\"nodes\":{\"version\":" + cursor + ",\"full\":false,\"servers\":["
                + server + "]}}");
        if (waiting != null) {
            waiting.run();
        }
    }

    /** One connection of the director to a cache, the parent or the origin. */
    private final class CachePeer extends LineProtocolPeer {
        private final Member member;
        private final Set<String> open = new HashSet<>();

        CachePeer(Connection connection, Member member) {
            super(connection);
            this.member = member;
            connections++;
        }

        @Override
        protected void requestReceived(String id, String fields) {
            if (member.open >= member.room) {
                sendText(id + " WAIT - 0\r\n\r\n");
                return;
            }
            String object = field(fields, "obj");
            boolean order = field(fields, "token") != null;
            boolean hit = !order && !member.copies.add(object);
            if (!hit && !order && field(fields, "src") == null && member.kind.equals("std")) {
                member.copies.remove(object);
                sendText(id + " LACK res=NO_FILL 0\r\n\r\n");
                return;
            }
            open.add(id);
            member.open++;
            deadlines.add(clock.micros() + (hit ? HIT_US : FILL_US), () -> done(id, order, hit));
        }

        private void done(String id, boolean order, boolean hit) {
            if (!open.remove(id)) {
                return;
            }
            member.open--;
            sendText(id + " DONE etag=t,made=" + clock.unixMillis() + ",res="
                    + (order ? "MISS_ORIGIN" : hit ? "HIT" : "MISS")
                    + ",ttfb=0 " + body.remaining() + "\r\n");
            connection.send(body.duplicate());
            sendText("\r\n");
        }

        @Override
        protected void requestCancelled(String id) {
            member.open -= open.remove(id) ? 1 : 0;
        }

        @Override
        protected void pollReceived(String path) {}

        @Override
        public void closed(IOException cause) {
            member.open -= open.size();
            open.clear();
        }
    }

    /** The director's watch: long polls for numbered events. */
    private final class Watch extends LineProtocolPeer {

        Watch(Connection connection) {
            super(connection);
        }

        @Override
        protected void requestReceived(String id, String fields) {}

        @Override
        protected void pollReceived(String path) {
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
            String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text;
            listBytes += answer.length();
            sendText(answer);
        }
    }

    @Override
    public void close() {
        loop.post(loop::stop);
    }
}
