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
 * Caches that keep copies with the time at which each was made, a parent and an origin, and a command channel for each
 * start of a director; the caches hold what comes to them against the rules. One thread plays all of them.
 */
final class StandInCaches implements AutoCloseable {

    private static final ByteBuffer BODY = ByteBuffer.wrap(new byte[200]).asReadOnlyBuffer();
    private static final long ANSWER_US = 8_000;
    /** How long a copy is fresh by the settings, where a request names no age. */
    private static final long FRESH_US = 20_000_000;
    /** Caches drop what is purged within purge-done-us of the settings, 6 s; the longest that a director may trust. */
    private static final long PURGE_DONE_US = 5_900_000;
    private static final int GROUPS = 256;
    private static final int WEIGHT = 6;

    /** A cache, parent or origin and its copies by object, each with the time at which the origin gave it out. */
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

        /** When the copy was made that will do for a request, or null. */
        Long copy(long object, long oldestUs, long nowUs) {
            Long made = copies.get(object);
            return made != null && nowUs - made <= oldestUs ? made : null;
        }
    }

    private final Clock clock = Clock.system();
    private final Deadlines deadlines = new Deadlines();
    private final EventLoop loop = new EventLoop(clock, deadlines);
    private final Map<String, Member> members = new TreeMap<>();
    private final List<StandInChannel> channels = new ArrayList<>();
    private final RuleJudge judge;

    /** So many warm caches that bear so many calls a second each. */
    StandInCaches(int caches, double callsPerSecond) throws IOException {
        judge = new RuleJudge(callsPerSecond);
        for (int i = 1; i <= caches; i++) {
            members.put("s-" + i, new Member("s-" + i, "std", 0));
        }
        members.put("p-1", new Member("p-1", "parent", 0));
        members.put("o-1", new Member("o-1", "origin", 0));
        Thread thread = new Thread(this::run, "stand-in-caches");
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

    /** Does something on the thread of the stand-ins and waits for it. */
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

    /** A channel for a director that starts now: its address, and the events that the director knows at its start. */
    Map.Entry<String, String> channel() throws Exception {
        return ask(() -> {
            StandInChannel channel = new StandInChannel(loop, deadlines, clock);
            channels.add(channel);
            String all = String.join(",", members.values().stream().map(Member::entry).toList());
            return Map.entry(channel.address(), "{\"cursor\":1,\"cmds\":[{\"cursor\":1,\"nodes\":"
                    + "{\"version\":1,\"full\":true,\"servers\":[" + all + "]}}]}");
        });
    }

    /** Purges an object and a group: directors are told now, and the caches have done it by the end of their time. */
    void purge(long object, int group) throws Exception {
        ask(() -> {
            long nowUs = clock.micros();
            deadlines.add(nowUs + PURGE_DONE_US, () -> members.values().forEach(member -> member.copies
                    .entrySet().removeIf(copy -> copy.getValue() < nowUs
                            && (copy.getKey() == object || group(copy.getKey()) == group))));
            judge.purged(object, 0, clock.micros());
            tell("\"drop\":{\"id\":\"" + String.format("%016x", object) + "\",\"when\":" + clock.unixMillis() + "}");
            judge.purged(null, group, clock.micros());
            tell("\"drop\":{\"family\":" + group + ",\"when\":" + clock.unixMillis() + "}");
            return null;
        });
    }

    /** A new cache starts, cold and empty. */
    void join(String id) throws Exception {
        ask(() -> {
            Member member = new Member(id, "std", clock.unixMillis());
            members.put(id, member);
            judge.started(id, clock.micros());
            tellOf(member);
            return null;
        });
    }

    /** A cache drains. */
    void drain(String id) throws Exception {
        ask(() -> {
            Member member = members.get(id);
            member.draining = true;
            judge.draining(id, clock.micros());
            tellOf(member);
            return null;
        });
    }

    /** A director has acknowledged that a cache is out, which no channel tells; it holds until it is put back. */
    void acknowledgedOut(String id) throws Exception {
        ask(() -> {
            judge.draining(id, clock.micros());
            return null;
        });
    }

    /** What the caches have found. */
    Verdict verdict() throws Exception {
        return ask(judge::verdict);
    }

    /** The first of it in words. */
    List<String> notes() throws Exception {
        return ask(judge::notes);
    }

    private void tellOf(Member member) {
        tell("\"nodes\":{\"version\":2,\"full\":false,\"servers\":[" + member.entry() + "]}");
    }

    private void tell(String event) {
        channels.forEach(channel -> channel.tell(event));
    }

    /** One connection of a director to a cache. */
    private final class CachePeer extends LinePeer {
        private final Member member;
        private final Set<String> open = new HashSet<>();

        CachePeer(Connection connection, Member member) {
            super(connection);
            this.member = member;
        }

        @Override
        protected void want(String id, String fields) {
            long nowUs = clock.micros();
            judge.request(member.id, nowUs);
            String source = field(fields, "src");
            if (source != null && !source.equals(member.id)) {
                judge.fillFrom(source, nowUs);
            }
            open.add(id);
            String token = field(fields, "token");
            if (token != null) {
                judge.ran(token, nowUs);
                answer(id, "MISS_ORIGIN", nowUs);
            } else {
                look(id, fields, source, nowUs);
            }
        }

        private void look(String id, String fields, String source, long nowUs) {
            String age = field(fields, "maxage");
            long oldestUs = age == null || age.equals("0") ? FRESH_US : Long.parseLong(age) * 1000;
            long object = Long.parseUnsignedLong(field(fields, "obj"), 16);
            Long made = member.copy(object, oldestUs, nowUs);
            String note = "HIT";
            if (made == null && source != null) {
                made = fetch(members.get(source), object, oldestUs, nowUs);
                note = "MISS";
            }
            if (made == null) {
                later(id, id + " LACK res=" + (source == null ? "NO_FILL" : "UP_MISS") + " 0\r\n\r\n", false);
                return;
            }
            member.copies.put(object, made);
            judge.answered(object, group(object), nowUs, made);
            answer(id, note, made);
        }

        private void answer(String id, String note, long madeUs) {
            long madeMs = clock.unixMillis() - (clock.micros() - madeUs) / 1000;
            later(id, id + " DONE etag=t,made=" + madeMs + ",res=" + note + ",ttfb=0 " + BODY.remaining() + "\r\n",
                    true);
        }

        private void later(String id, String head, boolean body) {
            deadlines.add(clock.micros() + ANSWER_US, () -> {
                if (!open.remove(id)) {
                    return;
                }
                say(head);
                if (body) {
                    connection.send(BODY.duplicate());
                    say("\r\n");
                }
            });
        }

        @Override
        protected void neverMind(String id) {
            open.remove(id);
        }

        @Override
        protected void poll(String path) {}

        @Override
        public void closed(IOException cause) {
            open.clear();
        }
    }

    /** The group of an object, as {@link clovermill.prove.Load} gives it: from the last twelve digits of the key. */
    private static int group(long object) {
        return (int) ((object & 0xffff_ffff_ffffL) % GROUPS);
    }

    /** What a source gives for a fill: a cache only what it holds, parent and origin always. Null for nothing. */
    private Long fetch(Member source, long object, long oldestUs, long nowUs) {
        Long made = source == null ? null : source.copy(object, oldestUs, nowUs);
        if (made != null || source == null || source.kind.equals("std")) {
            return made;
        }
        source.copies.put(object, nowUs);
        return nowUs;
    }

    @Override
    public void close() {
        loop.post(loop::stop);
    }
}
