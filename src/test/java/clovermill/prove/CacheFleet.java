package clovermill.prove;

import clovermill.routing.api.LoadReport;
import clovermill.routing.api.SlowStartRule;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.ConnectionHandler;
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
 * Fake caches on sockets, each with its own address and a load that follows the emulator's model, and a command channel
 * for each director. Faults can be injected while they run. All of them run on one thread, on which calls from other
 * threads are executed.
 */
public final class CacheFleet implements AutoCloseable {

    static final int BODY = 200;
    private static final long STEP_US = 5_000;
    private static final long SECOND_US = 1_000_000;
    private static final long REPORT_US = 400_000;
    private static final double ORDER_TRANSFER_US = 10_000;
    /** Drain grace period of the settings, and the protocol's allowance for sockets. */
    private static final long GRACE_US = 300_000;

    /** A cache and its address. */
    private static final class FakeCache {
        private final EmulatedCache model;
        private final Listener listener;
        private final long startedMs;
        private long drainAnnouncedUs = Long.MAX_VALUE;
        private double maxLoad;
        private long lastRequestUs;

        FakeCache(EmulatedCache model, Listener listener, long startedMs) {
            this.model = model;
            this.listener = listener;
            this.startedMs = startedMs;
        }
    }

    /** The command channel of one start of a director. */
    private static final class Channel {
        private Listener listener;
        private final List<String> events = new ArrayList<>();
        private Runnable waiting;
    }

    private final Clock clock = Clock.system();
    private final Deadlines deadlines = new Deadlines();
    private final EventLoop loop = new EventLoop(clock, deadlines);
    private final Map<String, FakeCache> caches = new TreeMap<>();
    private final List<Channel> channels = new ArrayList<>();
    private final SlowStartRule rule;
    private final double transferUs;
    private final ByteBuffer body = ByteBuffer.wrap("x".repeat(BODY).getBytes(StandardCharsets.ISO_8859_1));
    private final Set<String> orders = new HashSet<>();
    /** Ids of requests that any cache has received. */
    private final Set<String> ids = new HashSet<>();
    private final Deque<Long> recentArrivals = new ArrayDeque<>();
    private int maxPerSecond;
    /** Open attempts at all caches by request id, for reads. */
    private final Map<String, Integer> reads = new HashMap<>();
    private int maxReads;
    private final List<Double> maxOverMeanLoads = new ArrayList<>();
    private boolean reportsFrozen;
    private boolean reportsMuted;
    private int hubPort;
    private long lastSecondUs;
    private long lastReportUs;
    private int duplicateOrders;
    private int drainViolations;
    private int slowStartViolations;
    private int idleSeconds;

    /** Starts caches of a capacity, with a transfer time for each part. */
    public CacheFleet(int count, double capacity, double transferUs, SlowStartRule rule) throws IOException {
        this.transferUs = transferUs;
        this.rule = rule;
        for (int i = 1; i <= count; i++) {
            add("s-" + i, capacity, 0);
        }
        hubPort = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10, () -> {},
                CacheFleet::rejectHubConnection).port();
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

    /** Runs a task on the fleet's thread and waits for its result. */
    <T> T callOnLoop(Callable<T> task) throws InterruptedException, ExecutionException {
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

    // ---- Controls for tests -----------------------------------------------------------------------

    /** Opens a command channel for a director that starts now; returns its address and the initial endpoint list. */
    public Map.Entry<String, String> channel() throws Exception {
        return callOnLoop(() -> {
            Channel channel = new Channel();
            channel.listener = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10, () -> {},
                    connection -> new ChannelPeer(connection, channel));
            channels.add(channel);
            StringBuilder all = new StringBuilder();
            caches.forEach(
                    (id, cache) -> all.append(entry(id, cache, cache.model.draining ? "draining" : "ready"))
                            .append(','));
            all.append(hubEntry("p-1", "parent")).append(',').append(hubEntry("o-1", "origin"));
            return Map.entry("127.0.0.1:" + channel.listener.port(), "{\"cursor\":1,\"cmds\":[{\"cursor\":1,\"nodes\":"
                    + "{\"version\":1,\"full\":true,\"servers\":[" + all + "]}}]}");
        });
    }

    void setPace(String id, double factor) throws Exception {
        callOnLoop(() -> caches.get(id).model.speedFactor = factor);
    }

    /** Freezes or unfreezes the load reports; those made meanwhile become visible at once afterwards. */
    void freezeReports(boolean enabled) throws Exception {
        callOnLoop(() -> reportsFrozen = enabled);
    }

    /** Omits load reports from responses. */
    void muteReports(boolean enabled) throws Exception {
        callOnLoop(() -> reportsMuted = enabled);
    }

    void join(String id, double capacity) throws Exception {
        callOnLoop(() -> {
            add(id, capacity, clock.micros());
            publish(entry(id, caches.get(id), "ready"));
            return null;
        });
    }

    void drain(String id) throws Exception {
        callOnLoop(() -> {
            FakeCache cache = caches.get(id);
            cache.model.draining = true;
            cache.drainAnnouncedUs = clock.micros();
            publish(entry(id, cache, "draining"));
            return null;
        });
    }

    /** Returns when a cache received its last request, on the fleet's clock. */
    long lastRequestUs(String id) throws Exception {
        return callOnLoop(() -> caches.get(id).lastRequestUs);
    }

    /** Returns the maximum number of requests received within one second since the last call, and resets it. */
    int takeMaxPerSecond() throws Exception {
        return callOnLoop(() -> {
            int max = maxPerSecond;
            maxPerSecond = 0;
            recentArrivals.clear();
            return max;
        });
    }

    long nowUs() {
        return clock.micros();
    }

    /** Returns the figures so far by name. */
    Map<String, Double> figures() throws Exception {
        return callOnLoop(() -> {
            Map<String, Double> all = new TreeMap<>();
            all.put("max_over_mean", maxOverMeanLoads.stream().mapToDouble(d -> d).average().orElse(1));
            all.put("idle_s", (double) idleSeconds);
            all.put("most_reads", (double) maxReads);
            all.put("overruns", (double) slowStartViolations);
            all.put("drains_broken", (double) drainViolations);
            all.put("orders_twice", (double) duplicateOrders);
            caches.forEach((id, cache) -> all.put("busiest_" + id, cache.maxLoad));
            return all;
        });
    }

    // ---- Caches -----------------------------------------------------------------------------------

    private void add(String id, double capacity, long startedUs) throws IOException {
        EmulatedCache model = new EmulatedCache(id, capacity, capacity, startedUs, 0, 4000, rule);
        Listener listener = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1000,
                () -> {}, connection -> new CachePeer(connection, caches.get(id)));
        caches.put(id, new FakeCache(model, listener, startedUs == 0 ? 0 : clock.unixMillis()));
    }

    private static String entry(String id, FakeCache cache, String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + cache.listener.port() + "\",\"zone\":\"edge\",\"kind\":"
                + "\"std\",\"cell\":1,\"state\":\"" + state + "\",\"weight\":" + (int) cache.model.declaredCapacity
                + ",\"started_ms\":" + cache.startedMs + "}";
    }

    private String hubEntry(String id, String kind) {
        return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + hubPort + "\",\"zone\":\"north\",\"kind\":\"" + kind
                + "\",\"cell\":9,\"state\":\"ready\",\"weight\":20,\"started_ms\":0}";
    }

    private static ConnectionHandler rejectHubConnection(Connection connection) {
        throw new IllegalStateException("a director may not send requests to a hub itself");
    }

    private void step() {
        long now = clock.micros();
        deadlines.add(now + STEP_US, this::step);
        boolean secondElapsed = now - lastSecondUs >= SECOND_US;
        boolean reportDue = now - lastReportUs >= REPORT_US;
        List<Double> loads = new ArrayList<>();
        for (FakeCache cache : caches.values()) {
            cache.model.step(now, STEP_US, 2).forEach(transfer -> transfer.done.run());
            if (reportDue) {
                cache.model.report(now, REPORT_US / 4, 0, 0.2);
            }
            if (secondElapsed) {
                double load = cache.model.load(now, now - lastSecondUs);
                cache.maxLoad = Math.max(cache.maxLoad, load);
                if (!cache.model.draining && !cache.model.cold(now)) {
                    loads.add(load);
                }
            }
        }
        lastReportUs = reportDue ? now : lastReportUs;
        if (secondElapsed) {
            lastSecondUs = now;
            double mean = loads.stream().mapToDouble(d -> d).average().orElse(0);
            if (mean >= 0.1) {
                maxOverMeanLoads.add(loads.stream().mapToDouble(d -> d).max().orElse(0) / mean);
                idleSeconds += (int) loads.stream().filter(load -> load == 0).count();
            }
        }
    }

    /** Receives the fields of every request to a cache, in order of arrival, on the fleet's thread. */
    volatile Consumer<String> requestListener = fields -> {};

    private final class CachePeer extends LineProtocolPeer {
        private final FakeCache cache;
        private final Map<String, Transfer> open = new HashMap<>();

        CachePeer(Connection connection, FakeCache cache) {
            super(connection);
            this.cache = cache;
        }

        @Override
        protected void requestReceived(String id, String fields) {
            long now = clock.micros();
            String token = field(fields, "token");
            requestListener.accept(fields);
            boolean filling = field(fields, "src") != null && !field(fields, "src").equals(cache.model.id);
            double work = token == null ? transferUs : ORDER_TRANSFER_US;
            cache.lastRequestUs = now;
            if (ids.add(id)) {
                recentArrivals.add(now);
                while (recentArrivals.peek() <= now - SECOND_US) {
                    recentArrivals.poll();
                }
                maxPerSecond = Math.max(maxPerSecond, recentArrivals.size());
            }
            drainViolations += now > cache.drainAnnouncedUs + GRACE_US && cache.model.draining ? 1 : 0;
            slowStartViolations += cache.model.overloadedWhileCold(now, work) ? 1 : 0;
            if (cache.model.full()) {
                sendText(id + " WAIT - 0\r\n\r\n");
                return;
            }
            boolean hit =
                    token == null && cache.model.lookUp(Long.parseUnsignedLong(field(fields, "obj"), 16), filling);
            if (token == null && !hit && !filling) {
                sendText(id + " LACK - 0\r\n\r\n");
                return;
            }
            duplicateOrders += token == null || orders.add(token) ? 0 : 1;
            Transfer transfer = new Transfer(() -> complete(id, hit), !hit, work, hit ? 0 : 10_000);
            open.put(id, transfer);
            if (token == null) {
                reads.merge(id, 1, Integer::sum);
                maxReads = Math.max(maxReads, reads.size());
            }
            cache.model.open.add(transfer);
        }

        private void complete(String id, boolean hit) {
            open.remove(id);
            reads.computeIfPresent(id, (key, count) -> count > 1 ? count - 1 : null);
            LoadReport load = reportsMuted ? null : cache.model.visibleReport(clock.micros(), reportsFrozen);
            String gauges = load == null ? "" : String.format(Locale.ROOT,
                    ",gauges=concurrent:%.3f;load_share:%.3f;x1:%.3f", load.concurrency(), load.utilization(),
                    load.linkUtilization());
            sendText(id + " DONE etag=t,made=" + clock.unixMillis() + ",res=" + (hit ? "HIT" : "MISS") + gauges + " "
                    + BODY
                    + "\r\n");
            connection.send(body.duplicate());
            sendText("\r\n");
        }

        @Override
        protected void requestCancelled(String id) {
            cache.model.open.remove(open.remove(id));
            reads.computeIfPresent(id, (key, count) -> count > 1 ? count - 1 : null);
        }

        @Override
        protected void pollReceived(String path) {}

        @Override
        public void closed(IOException cause) {
            cache.model.open.removeAll(open.values());
            open.keySet().forEach(id -> reads.computeIfPresent(id, (key, count) -> count > 1 ? count - 1 : null));
        }
    }

    // ---- Command channel --------------------------------------------------------------------------

    private void publish(String server) {
        for (Channel channel : channels) {
            int cursor = channel.events.size() + 2;
            channel.events.add("{\"cursor\":" + cursor + ",\"nodes\":{\"version\":" + cursor + ",\"full\":false,"
                    + "\"servers\":[" + server + "]}}");
            if (channel.waiting != null) {
                channel.waiting.run();
            }
        }
    }

    private final class ChannelPeer extends LineProtocolPeer {
        private final Channel channel;

        ChannelPeer(Connection connection, Channel channel) {
            super(connection);
            this.channel = channel;
        }

        @Override
        protected void requestReceived(String id, String fields) {}

        @Override
        protected void pollReceived(String path) {
            int resume = Integer.parseInt(path.replaceAll(".*resume=([0-9]+).*", "$1"));
            long block = Long.parseLong(path.replaceAll(".*block=", ""));
            Runnable answer = () -> {
                channel.waiting = null;
                List<String> later = channel.events.subList(Math.min(channel.events.size(), resume - 1),
                        channel.events.size());
                String text = "{\"cursor\":" + (channel.events.size() + 1) + ",\"cmds\":[" + String.join(",", later)
                        + "]}";
                sendText("HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
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
