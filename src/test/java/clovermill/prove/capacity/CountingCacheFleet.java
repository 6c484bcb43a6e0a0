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
 * Stand-in caches, each at its own port, a parent and an origin, and the discovery endpoint of one director. Caches
 * store copies and accept a limited number of concurrent requests; connections and bytes of member lists are counted.
 * One thread runs all of them.
 */
final class CountingCacheFleet implements AutoCloseable {

    private static final int BODY_BYTES = 4_000;
    private static final long HIT_US = 5_000;
    private static final long FILL_US = 20_000;
    private static final int PARENT_CAPACITY = 1_000;
    private static final int MAX_CONNECTIONS = 1_000;

    /** A listed member with its listening socket. */
    private final class Member {
        private final String id;
        private final String kind;
        private final int capacity;
        private final long startedMs;
        private final Listener listener;
        private final Set<String> copies = new HashSet<>();
        private int open;

        Member(String id, String kind, int capacity, long startedMs) throws IOException {
            this.id = id;
            this.kind = kind;
            this.capacity = capacity;
            this.startedMs = startedMs;
            this.listener = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MAX_CONNECTIONS,
                    () -> {}, connection -> new CachePeer(connection, this));
        }

        String entry(String state) {
            return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + listener.port() + "\",\"zone\":\""
                    + (kind.equals("std") ? "edge" : "north") + "\",\"kind\":\"" + kind + "\",\"cell\":1,\"state\":\""
                    + state + "\",\"weight\":" + capacity + ",\"started_ms\":" + startedMs + "}";
        }
    }

    private final Clock clock = Clock.system();
    private final Deadlines deadlines = new Deadlines();
    private final EventLoop loop = new EventLoop(clock, deadlines);
    private final ByteBuffer body = ByteBuffer.wrap(new byte[BODY_BYTES]).asReadOnlyBuffer();
    private final Member parent = new Member("p-1", "parent", PARENT_CAPACITY, 0);
    private final Member origin = new Member("o-1", "origin", PARENT_CAPACITY, 0);
    private final Listener discovery;
    private final int capacity;
    /** Caches that are ready, oldest first, and draining ones. */
    private final Deque<Member> ready = new ArrayDeque<>();
    private final List<Member> draining = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private Runnable pendingPoll;
    private int lastNumber;
    private volatile long connections;
    private volatile long listBytes;

    /** Starts warm caches that each accept {@code capacity} concurrent requests. */
    CountingCacheFleet(int caches, int capacity) throws IOException {
        this.capacity = capacity;
        for (int i = 0; i < caches; i++) {
            ready.add(new Member("s-" + ++lastNumber, "std", capacity, 0));
        }
        discovery = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MAX_CONNECTIONS, () -> {},
                DiscoveryPeer::new);
        Thread thread = new Thread(this::run, "counting-caches");
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

    private <T> T callOnLoop(Callable<T> call) throws InterruptedException, ExecutionException {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.post(() -> {
            try {
                result.complete(call.call());
            } catch (Exception failure) {
                result.completeExceptionally(failure);
            }
        });
        return result.get();
    }

    /** Returns the address of the discovery endpoint and the member list that a director starts with. */
    Map.Entry<String, String> channel() throws Exception {
        return callOnLoop(() -> {
            StringBuilder all = new StringBuilder();
            ready.forEach(member -> all.append(member.entry("ready")).append(','));
            all.append(parent.entry("ready")).append(',').append(origin.entry("ready"));
            return Map.entry("127.0.0.1:" + discovery.port(), "{\"cursor\":1,\"cmds\":[{\"cursor\":1,\"nodes\":"
                    + "{\"version\":1,\"full\":true,\"servers\":[" + all + "]}}]}");
        });
    }

    /** Removes draining caches, drains the oldest {@code caches} ready ones, and starts as many new ones. */
    void replace(int caches) throws Exception {
        callOnLoop(() -> {
            draining.forEach(member -> publish(member.entry("gone")));
            draining.clear();
            for (int i = 0; i < caches; i++) {
                Member old = ready.remove();
                draining.add(old);
                publish(old.entry("draining"));
                Member next = new Member("s-" + ++lastNumber, "std", capacity, clock.unixMillis());
                ready.add(next);
                publish(next.entry("ready"));
            }
            return null;
        });
    }

    /** Returns the connections that caches, parent and origin have accepted so far. */
    long connections() {
        return connections;
    }

    /** Returns the bytes that the discovery endpoint has sent so far. */
    long listBytes() {
        return listBytes;
    }

    private void publish(String server) {
        int cursor = events.size() + 2;
        events.add("{\"cursor\":" + cursor + ",\"nodes\":{\"version\":" + cursor + ",\"full\":false,\"servers\":["
                + server + "]}}");
        if (pendingPoll != null) {
            pendingPoll.run();
        }
    }

    /** A connection of the director to a cache, the parent or the origin. */
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
            if (member.open >= member.capacity) {
                sendText(id + " WAIT - 0\r\n\r\n");
                return;
            }
            String object = field(fields, "obj");
            boolean fillOrder = field(fields, "token") != null;
            boolean hit = !fillOrder && !member.copies.add(object);
            if (!hit && !fillOrder && field(fields, "src") == null && member.kind.equals("std")) {
                member.copies.remove(object);
                sendText(id + " LACK res=NO_FILL 0\r\n\r\n");
                return;
            }
            open.add(id);
            member.open++;
            deadlines.add(clock.micros() + (hit ? HIT_US : FILL_US), () -> done(id, fillOrder, hit));
        }

        private void done(String id, boolean fillOrder, boolean hit) {
            if (!open.remove(id)) {
                return;
            }
            member.open--;
            sendText(id + " DONE etag=t,made=" + clock.unixMillis() + ",res="
                    + (fillOrder ? "MISS_ORIGIN" : hit ? "HIT" : "MISS")
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

    /** The director's connection to discovery: long polls for numbered events. */
    private final class DiscoveryPeer extends LineProtocolPeer {

        DiscoveryPeer(Connection connection) {
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
            pendingPoll = answer;
            deadlines.add(clock.micros() + blockMs * 1000, () -> {
                if (pendingPoll == answer) {
                    answer.run();
                }
            });
        }

        private void answer(int resume) {
            pendingPoll = null;
            int published = events.size();
            String later = String.join(",", events.subList(Math.min(published, resume - 1), published));
            String text = "{\"cursor\":" + (published + 1) + ",\"cmds\":[" + later + "]}";
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
