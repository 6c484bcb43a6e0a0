package clovermill.prove;

import clovermill.routing.api.LoadReport;
import clovermill.routing.api.SlowStartRule;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import clovermill.runtime.net.Listener;
import clovermill.simulation.emulator.EmulatedCache;
import clovermill.simulation.emulator.EmulatedCache.Transfer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;

/**
 * Stand-in caches on sockets, each at an address of its own and as busy as the emulator's model says, and a command
 * channel for each director; faults are put in while they run. One thread plays all of them; what is asked from
 * others is done there.
 */
public final class CacheFleet implements AutoCloseable {

    static final int BODY = 200;
    private static final long STEP_US = 5_000;
    private static final long SECOND_US = 1_000_000;
    private static final long REPORT_US = 400_000;
    private static final double ORDER_WORK_US = 10_000;
    /** Drain grace of the settings, and what sockets are given more by the protocol. */
    private static final long GRACE_US = 300_000;

    /** A cache and its address. */
    private static final class Box {
        private final EmulatedCache model;
        private final Listener listener;
        private final long startedMs;
        private long drainToldUs = Long.MAX_VALUE;
        private double busiest;
        private long lastUs;

        Box(EmulatedCache model, Listener listener, long startedMs) {
            this.model = model;
            this.listener = listener;
            this.startedMs = startedMs;
        }
    }

    /** The command channel of one director, from one start on. */
    private static final class Channel {
        private Listener listener;
        private final List<String> events = new ArrayList<>();
        private Runnable waiting;
    }

    private final Clock clock = Clock.system();
    private final Deadlines deadlines = new Deadlines();
    private final EventLoop loop = new EventLoop(clock, deadlines);
    private final Map<String, Box> boxes = new TreeMap<>();
    private final List<Channel> channels = new ArrayList<>();
    private final SlowStartRule rule;
    private final double workUs;
    private final ByteBuffer body = ByteBuffer.wrap("x".repeat(BODY).getBytes(StandardCharsets.ISO_8859_1));
    private final Set<String> orders = new HashSet<>();
    /** Requests by when they first came, whichever cache they came to. */
    private final Set<String> ids = new HashSet<>();
    private final Deque<Long> lately = new ArrayDeque<>();
    private int mostLately;
    /** Reads that are out at any cache, by request, and the most there were. */
    private final Map<String, Integer> reads = new HashMap<>();
    private int mostReads;
    private final List<Double> spreads = new ArrayList<>();
    private boolean frozen;
    private boolean mute;
    private int hub;
    private long lastSecondUs;
    private long lastReportUs;
    private int ordersTwice;
    private int drainsBroken;
    private int overruns;
    private int idle;

    /** So many caches of a room, whose parts take a time to send. */
    public CacheFleet(int caches, double room, double workUs, SlowStartRule rule) throws IOException {
        this.workUs = workUs;
        this.rule = rule;
        for (int i = 1; i <= caches; i++) {
            add("s-" + i, room, 0);
        }
        hub = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10, () -> {},
                CacheFleet::unasked).port();
        lastSecondUs = clock.micros();
        step();
        Thread thread = new Thread(() -> {
            try {
                loop.run();
            } catch (IOException failure) {
                throw new IllegalStateException(failure);
            }
        }, "cache-fleet");
        thread.setDaemon(true);
        thread.start();
    }

    /** Does something on the fleet's thread and waits for it. */
    <T> T ask(Callable<T> what) throws InterruptedException, ExecutionException {
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

    // ---- What tests do to it ----------------------------------------------------------------------

    /** A command channel for a director that starts now; its address and the list that the director starts with. */
    public Map.Entry<String, String> channel() throws Exception {
        return ask(() -> {
            Channel channel = new Channel();
            channel.listener = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10, () -> {},
                    connection -> new Poll(connection, channel));
            channels.add(channel);
            StringBuilder all = new StringBuilder();
            boxes.forEach(
                    (id, box) -> all.append(entry(id, box, box.model.draining ? "draining" : "ready")).append(','));
            all.append(other("p-1", "parent")).append(',').append(other("o-1", "origin"));
            return Map.entry("127.0.0.1:" + channel.listener.port(), "{\"cursor\":1,\"cmds\":[{\"cursor\":1,\"nodes\":"
                    + "{\"version\":1,\"full\":true,\"servers\":[" + all + "]}}]}");
        });
    }

    void slow(String id, double factor) throws Exception {
        ask(() -> boxes.get(id).model.speedFactor = factor);
    }

    /** Reports stay as they are, and all that were made meanwhile are seen at once later. */
    void freeze(boolean on) throws Exception {
        ask(() -> frozen = on);
    }

    /** Answers bring no reports. */
    void mute(boolean on) throws Exception {
        ask(() -> mute = on);
    }

    void join(String id, double room) throws Exception {
        ask(() -> {
            add(id, room, clock.micros());
            tell(entry(id, boxes.get(id), "ready"));
            return null;
        });
    }

    void leave(String id) throws Exception {
        ask(() -> {
            Box box = boxes.get(id);
            box.model.draining = true;
            box.drainToldUs = clock.micros();
            tell(entry(id, box, "draining"));
            return null;
        });
    }

    /** When the last request came to a cache, on the fleet's clock. */
    long lastUs(String id) throws Exception {
        return ask(() -> boxes.get(id).lastUs);
    }

    /** The most requests that came within one second since this was last asked. */
    int mostInASecond() throws Exception {
        return ask(() -> {
            int most = mostLately;
            mostLately = 0;
            lately.clear();
            return most;
        });
    }

    long nowUs() {
        return clock.micros();
    }

    /** Figures so far; seconds counted are forgotten. */
    Map<String, Double> figures() throws Exception {
        return ask(() -> {
            Map<String, Double> all = new TreeMap<>();
            all.put("max_over_mean", spreads.stream().mapToDouble(d -> d).average().orElse(1));
            all.put("idle_s", (double) idle);
            all.put("most_reads", (double) mostReads);
            all.put("overruns", (double) overruns);
            all.put("drains_broken", (double) drainsBroken);
            all.put("orders_twice", (double) ordersTwice);
            boxes.forEach((id, box) -> all.put("busiest_" + id, box.busiest));
            return all;
        });
    }

    // ---- Caches -----------------------------------------------------------------------------------

    private void add(String id, double room, long startedUs) throws IOException {
        EmulatedCache model = new EmulatedCache(id, room, room, startedUs, 0, 4000, rule);
        Listener listener = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1000,
                () -> {}, connection -> new Peer(connection, boxes.get(id)));
        boxes.put(id, new Box(model, listener, startedUs == 0 ? 0 : clock.unixMillis()));
    }

    private static String entry(String id, Box box, String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + box.listener.port() + "\",\"zone\":\"edge\",\"kind\":"
                + "\"std\",\"cell\":1,\"state\":\"" + state + "\",\"weight\":" + (int) box.model.declaredCapacity
                + ",\"started_ms\":" + box.startedMs + "}";
    }

    private String other(String id, String kind) {
        return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + hub + "\",\"zone\":\"north\",\"kind\":\"" + kind
                + "\",\"cell\":9,\"state\":\"ready\",\"weight\":20,\"started_ms\":0}";
    }

    private static Connection.Handler unasked(Connection connection) {
        throw new IllegalStateException("a director may not ask a hub itself");
    }

    private void step() {
        long now = clock.micros();
        deadlines.add(now + STEP_US, this::step);
        boolean second = now - lastSecondUs >= SECOND_US;
        boolean report = now - lastReportUs >= REPORT_US;
        List<Double> loads = new ArrayList<>();
        for (Box box : boxes.values()) {
            box.model.step(now, STEP_US, 2).forEach(transfer -> transfer.done.run());
            if (report) {
                box.model.report(now, REPORT_US / 4, 0, 0.2);
            }
            if (second) {
                double load = box.model.load(now, now - lastSecondUs);
                box.busiest = Math.max(box.busiest, load);
                if (!box.model.draining && !box.model.cold(now)) {
                    loads.add(load);
                }
            }
        }
        lastReportUs = report ? now : lastReportUs;
        if (second) {
            lastSecondUs = now;
            double mean = loads.stream().mapToDouble(d -> d).average().orElse(0);
            if (mean >= 0.1) {
                spreads.add(loads.stream().mapToDouble(d -> d).max().orElse(0) / mean);
                idle += (int) loads.stream().filter(load -> load == 0).count();
            }
        }
    }

    /** Hears of every request that comes to a cache, in the order in which they come, on the stand-ins' thread. */
    volatile Consumer<String> heard = fields -> {};

    private final class Peer extends LinePeer {
        private final Box box;
        private final Map<String, Transfer> open = new HashMap<>();

        Peer(Connection connection, Box box) {
            super(connection);
            this.box = box;
        }

        @Override
        protected void want(String id, String fields) {
            long now = clock.micros();
            String token = field(fields, "token");
            heard.accept(fields);
            boolean fills = field(fields, "src") != null && !field(fields, "src").equals(box.model.id);
            double work = token == null ? workUs : ORDER_WORK_US;
            box.lastUs = now;
            if (ids.add(id)) {
                lately.add(now);
                while (lately.peek() <= now - SECOND_US) {
                    lately.poll();
                }
                mostLately = Math.max(mostLately, lately.size());
            }
            drainsBroken += now > box.drainToldUs + GRACE_US && box.model.draining ? 1 : 0;
            overruns += box.model.overloadedWhileCold(now, work) ? 1 : 0;
            if (box.model.full()) {
                say(id + " WAIT - 0\r\n\r\n");
                return;
            }
            boolean hit = token == null && box.model.lookUp(Long.parseUnsignedLong(field(fields, "obj"), 16), fills);
            if (token == null && !hit && !fills) {
                say(id + " LACK - 0\r\n\r\n");
                return;
            }
            ordersTwice += token == null || orders.add(token) ? 0 : 1;
            Transfer transfer = new Transfer(() -> done(id, hit), !hit, work, hit ? 0 : 10_000);
            open.put(id, transfer);
            if (token == null) {
                reads.merge(id, 1, Integer::sum);
                mostReads = Math.max(mostReads, reads.size());
            }
            box.model.open.add(transfer);
        }

        private void done(String id, boolean hit) {
            open.remove(id);
            reads.computeIfPresent(id, (key, count) -> count > 1 ? count - 1 : null);
            LoadReport load = mute ? null : box.model.visibleReport(clock.micros(), frozen);
            String gauges = load == null ? "" : String.format(Locale.ROOT,
                    ",gauges=concurrent:%.3f;load_share:%.3f;x1:%.3f", load.concurrency(), load.utilization(),
                    load.linkUtilization());
            say(id + " DONE etag=t,made=" + clock.unixMillis() + ",res=" + (hit ? "HIT" : "MISS") + gauges + " " + BODY
                    + "\r\n");
            connection.send(body.duplicate());
            say("\r\n");
        }

        @Override
        protected void neverMind(String id) {
            box.model.open.remove(open.remove(id));
            reads.computeIfPresent(id, (key, count) -> count > 1 ? count - 1 : null);
        }

        @Override
        protected void poll(String path) {}

        @Override
        public void closed(IOException cause) {
            box.model.open.removeAll(open.values());
            open.keySet().forEach(id -> reads.computeIfPresent(id, (key, count) -> count > 1 ? count - 1 : null));
        }
    }

    // ---- Command channel --------------------------------------------------------------------------

    private void tell(String server) {
        for (Channel channel : channels) {
            int cursor = channel.events.size() + 2;
            channel.events.add("{\"cursor\":" + cursor + ",\"nodes\":{\"version\":" + cursor + ",\"full\":false,"
                    + "\"servers\":[" + server + "]}}");
            if (channel.waiting != null) {
                channel.waiting.run();
            }
        }
    }

    private final class Poll extends LinePeer {
        private final Channel channel;

        Poll(Connection connection, Channel channel) {
            super(connection);
            this.channel = channel;
        }

        @Override
        protected void want(String id, String fields) {}

        @Override
        protected void poll(String path) {
            int resume = Integer.parseInt(path.replaceAll(".*resume=([0-9]+).*", "$1"));
            long block = Long.parseLong(path.replaceAll(".*block=", ""));
            Runnable answer = () -> {
                channel.waiting = null;
                List<String> later = channel.events.subList(Math.min(channel.events.size(), resume - 1),
                        channel.events.size());
                String text = "{\"cursor\":" + (channel.events.size() + 1) + ",\"cmds\":[" + String.join(",", later)
                        + "]}";
                say("HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
            };
            if (channel.events.size() > resume - 1) {
                answer.run();
                return;
            }
            channel.waiting = answer;
            deadlines.add(clock.micros() + block * 1000, () -> {
                if (channel.waiting == answer) {
                    answer.run();
                }
            });
        }
    }

    @Override
    public void close() {
        loop.post(loop::stop);
    }
}
