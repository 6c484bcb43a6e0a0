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
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

/**
 * Fake caches that store copies with their creation times, a parent, an origin, and a command channel for each start
 * of a director. The caches check the requests they receive against the rules. All of them run on one thread.
 */
final class FakeCaches implements AutoCloseable {

    private static final ByteBuffer BODY = ByteBuffer.wrap(new byte[200]).asReadOnlyBuffer();
    private static final long RESPONSE_DELAY_US = 8_000;
    /** Freshness lifetime of a copy by the settings, for requests without a maximum age. */
    private static final long FRESH_US = 20_000_000;
    /** Just under the setting purge-done-us, 6 s: directors may rely on purged copies being removed by then. */
    private static final long PURGE_DONE_US = 5_900_000;
    private static final int GROUPS = 256;
    private static final int WEIGHT = 6;

    /** A cache, parent or origin and its copies: by object, the time at which the origin served it. */
    private final class Member {
        private final String id;
        private final String kind;
        private final Listener listener;
        private final long startedMs;
        private final Map<Long, Long> copies = new HashMap<>();
        private boolean draining;

        Member(String id, String kind, long startedMs) throws IOException {
            this.id = id;
            this.kind = kind;
            this.startedMs = startedMs;
            this.listener = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1000, () -> {},
                    connection -> new CachePeer(connection, this));
        }

        String entry() {
            boolean cache = kind.equals("std");
            return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + listener.port() + "\",\"zone\":\""
                    + (cache ? "edge" : "north") + "\",\"kind\":\"" + kind + "\",\"cell\":1,\"state\":\""
                    + (draining ? "draining" : "ready") + "\",\"weight\":" + WEIGHT + ",\"started_ms\":"
                    + startedMs + "}";
        }

        /** Returns the creation time of a copy that is young enough for a request, or null. */
        Long copy(long object, long oldestUs, long nowUs) {
            Long copiedUs = copies.get(object);
            return copiedUs != null && nowUs - copiedUs <= oldestUs ? copiedUs : null;
        }
    }

    private final Clock clock = Clock.system();
    private final Deadlines deadlines = new Deadlines();
    private final EventLoop loop = new EventLoop(clock, deadlines);
    private final Map<String, Member> members = new TreeMap<>();
    private final List<FakeChannel> channels = new ArrayList<>();
    private final RuleChecker checker;

    /** Starts warm caches with a capacity of so many calls a second each. */
    FakeCaches(int caches, double callsPerSecond) throws IOException {
        checker = new RuleChecker(callsPerSecond);
        for (int i = 1; i <= caches; i++) {
            members.put("s-" + i, new Member("s-" + i, "std", 0));
        }
        members.put("p-1", new Member("p-1", "parent", 0));
        members.put("o-1", new Member("o-1", "origin", 0));
        Thread thread = new Thread(this::run, "fake-caches");
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

    /** Runs a task on the event loop's thread and waits for its result. */
    private <T> T callOnLoop(Callable<T> task) throws InterruptedException, ExecutionException {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.post(() -> {
            try {
                result.complete(task.call());
            } catch (Exception failure) {
                result.completeExceptionally(failure);
            }
        });
        return result.get();
    }

    /** Opens a channel for a director that starts now; returns its address and the director's initial events. */
    Map.Entry<String, String> channel() throws Exception {
        return callOnLoop(() -> {
            FakeChannel channel = new FakeChannel(loop, deadlines, clock);
            channels.add(channel);
            String all = String.join(",", members.values().stream().map(Member::entry).toList());
            return Map.entry(channel.address(), "{\"cursor\":1,\"cmds\":[{\"cursor\":1,\"nodes\":"
                    + "{\"version\":1,\"full\":true,\"servers\":[" + all + "]}}]}");
        });
    }

    /** Purges an object and a group: directors are notified now, caches remove the copies after PURGE_DONE_US. */
    void purge(long object, int group) throws Exception {
        callOnLoop(() -> {
            long nowUs = clock.micros();
            deadlines.add(nowUs + PURGE_DONE_US, () -> members.values().forEach(member -> member.copies
                    .entrySet().removeIf(copy -> copy.getValue() < nowUs
                            && (copy.getKey() == object || group(copy.getKey()) == group))));
            checker.purged(object, 0, clock.micros());
            publish("\"drop\":{\"id\":\"" + String.format("%016x", object) + "\",\"when\":" + clock.unixMillis() + "}");
            checker.purged(null, group, clock.micros());
            publish("\"drop\":{\"family\":" + group + ",\"when\":" + clock.unixMillis() + "}");
            return null;
        });
    }

    /** Starts a new cache, cold and empty. */
    void join(String id) throws Exception {
        callOnLoop(() -> {
            Member member = new Member(id, "std", clock.unixMillis());
            members.put(id, member);
            checker.cacheStarted(id, clock.micros());
            publishMember(member);
            return null;
        });
    }

    /** Drains a cache. */
    void drain(String id) throws Exception {
        callOnLoop(() -> {
            Member member = members.get(id);
            member.draining = true;
            checker.drainStarted(id, clock.micros());
            publishMember(member);
            return null;
        });
    }

    /** Records that a director acknowledged disabling a cache, which the command channel does not announce. */
    void disableAcknowledged(String id) throws Exception {
        callOnLoop(() -> {
            checker.drainStarted(id, clock.micros());
            return null;
        });
    }

    /** Returns the violations that the caches counted. */
    Verdict verdict() throws Exception {
        return callOnLoop(checker::verdict);
    }

    /** Returns messages that describe the first violations. */
    List<String> findings() throws Exception {
        return callOnLoop(checker::findings);
    }

    private void publishMember(Member member) {
        publish("\"nodes\":{\"version\":2,\"full\":false,\"servers\":[" + member.entry() + "]}");
    }

    private void publish(String event) {
        channels.forEach(channel -> channel.publish(event));
    }

    /** One connection of a director to a cache. */
    private final class CachePeer extends LineProtocolPeer {
        private final Member member;
        private final Set<String> open = new HashSet<>();

        CachePeer(Connection connection, Member member) {
            super(connection);
            this.member = member;
        }

        @Override
        protected void requestReceived(String id, String fields) {
            long nowUs = clock.micros();
            checker.requestReceived(member.id, nowUs);
            String source = field(fields, "src");
            if (source != null && !source.equals(member.id)) {
                checker.fillRequested(source, nowUs);
            }
            open.add(id);
            String token = field(fields, "token");
            if (token != null) {
                checker.effectExecuted(token, nowUs);
                respond(id, "MISS_ORIGIN", nowUs);
            } else {
                serveRead(id, fields, source, nowUs);
            }
        }

        private void serveRead(String id, String fields, String source, long nowUs) {
            String age = field(fields, "maxage");
            long oldestUs = age == null || age.equals("0") ? FRESH_US : Long.parseLong(age) * 1000;
            long object = Long.parseUnsignedLong(field(fields, "obj"), 16);
            Long copiedUs = member.copy(object, oldestUs, nowUs);
            String result = "HIT";
            if (copiedUs == null && source != null) {
                copiedUs = fetch(members.get(source), object, oldestUs, nowUs);
                result = "MISS";
            }
            if (copiedUs == null) {
                respondLater(id, id + " LACK res=" + (source == null ? "NO_FILL" : "UP_MISS") + " 0\r\n\r\n", false);
                return;
            }
            member.copies.put(object, copiedUs);
            checker.responseServed(object, group(object), nowUs, copiedUs);
            respond(id, result, copiedUs);
        }

        private void respond(String id, String result, long copiedUs) {
            long copiedMs = clock.unixMillis() - (clock.micros() - copiedUs) / 1000;
            respondLater(id,
                    id + " DONE etag=t,made=" + copiedMs + ",res=" + result + ",ttfb=0 " + BODY.remaining() + "\r\n",
                    true);
        }

        private void respondLater(String id, String head, boolean body) {
            deadlines.add(clock.micros() + RESPONSE_DELAY_US, () -> {
                if (!open.remove(id)) {
                    return;
                }
                sendText(head);
                if (body) {
                    connection.send(BODY.duplicate());
                    sendText("\r\n");
                }
            });
        }

        @Override
        protected void requestCancelled(String id) {
            open.remove(id);
        }

        @Override
        protected void pollReceived(String path) {}

        @Override
        public void closed(IOException cause) {
            open.clear();
        }
    }

    /** Returns the group of an object by the last digits of its key, like {@link clovermill.prove.LoadGenerator}. */
    private static int group(long object) {
        return (int) ((object & 0xffff_ffff_ffffL) % GROUPS);
    }

    /** Returns the creation time of a source's copy: a cache serves stored copies only (else null), others always. */
    private Long fetch(Member source, long object, long oldestUs, long nowUs) {
        Long copiedUs = source == null ? null : source.copy(object, oldestUs, nowUs);
        if (copiedUs != null || source == null || source.kind.equals("std")) {
            return copiedUs;
        }
        source.copies.put(object, nowUs);
        return nowUs;
    }

    @Override
    public void close() {
        loop.post(loop::stop);
    }
}
