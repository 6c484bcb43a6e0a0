package clovermill.prove.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.HdrHistogram.Histogram;

/** Publishes events at random hollow directors of a cluster and measures when and where they take effect. */
final class EventLoad {

    private static final long DELIVERY_TIMEOUT_MS = 15_000;
    private static final long POLL_MS = 100;
    private static final long MAX_LATENCY_MS = 3_600_000;
    private static final String OUT_OF_ORDER_NOTE = "in force after an event that was put later";

    private final Cluster cluster;
    private final Random random;
    private final List<Integer> hollow;
    /** When each event was put, in Unix milliseconds, by its number. */
    private final List<Long> publishedMs = new ArrayList<>();

    EventLoad(Cluster cluster, long seed) {
        this.cluster = cluster;
        this.random = new Random(seed);
        this.hollow = HollowProcessHandle.directors(cluster.hollow());
    }

    /** The range of events from {@code from}, inclusive, to {@code to}, exclusive. */
    record EventRange(int from, int to) {

        int events() {
            return to - from;
        }
    }

    /** A thread that publishes events at random hollow directors, evenly in time, until it is stopped. */
    final class Publisher extends Thread {
        private final double perMs;
        private final int from = publishedMs.size();
        private final long startMs = System.currentTimeMillis();
        private volatile boolean running = true;

        private Publisher(double rate) {
            super("events");
            perMs = rate / 1000;
            start();
        }

        @Override
        public void run() {
            try {
                for (long count = 0; running && perMs > 0; count++) {
                    long dueMs = startMs + (long) (count / perMs);
                    Thread.sleep(Math.max(0, dueMs - System.currentTimeMillis()));
                    publish();
                }
            } catch (IOException | InterruptedException failure) {
                throw new IllegalStateException(failure);
            }
        }

        /** Stops the thread and returns the range of events that it published. */
        EventRange stopAndAwait() throws InterruptedException {
            running = false;
            join();
            return new EventRange(from, publishedMs.size());
        }
    }

    /** Starts publishing {@code rate} events a second; a rate of 0 publishes none. */
    Publisher startPublishing(double rate) {
        return new Publisher(rate);
    }

    /** Returns the number of events published so far. */
    int count() {
        return publishedMs.size();
    }

    private void publish() throws IOException {
        int director = hollow.get(random.nextInt(hollow.size()));
        int event = publishedMs.size();
        publishedMs.add(System.currentTimeMillis());
        cluster.processOf(director).send("put " + director + " " + event);
    }

    /** Waits up to {@code maxMs} until events are in force everywhere; returns the number of missing deliveries. */
    long awaitDelivered(EventRange range, long maxMs) throws Exception {
        long untilMs = System.currentTimeMillis() + maxMs;
        long missing = missing(range);
        while (missing > 0 && System.currentTimeMillis() < untilMs) {
            Thread.sleep(POLL_MS);
            missing = missing(range);
        }
        return missing;
    }

    /** Adds the time until events were in force everywhere, and the missing and the out-of-order deliveries. */
    void addDeliveryFigures(Figures figures, EventRange range, long outOfOrderBefore) throws Exception {
        long missing = awaitDelivered(range, DELIVERY_TIMEOUT_MS);
        figures.add(Figures.HOLLOW, "events", range.events(), "events", "put");
        addLatencies(figures, Figures.HOLLOW, lastMs(range), range);
        figures.add(Figures.HOLLOW, "lost", missing, "deliveries", "of " + expected(range));
        figures.add(Figures.HOLLOW, "misordered", outOfOrder() - outOfOrderBefore, "deliveries", OUT_OF_ORDER_NOTE);
        if (!cluster.real().isEmpty()) {
            addRealDeliveryFigures(figures, range);
        }
    }

    /** Returns when each event last took effect at a hollow director, in Unix milliseconds, or 0 if at none. */
    long[] lastMs(EventRange range) throws IOException {
        long[] lastMs = new long[range.events()];
        for (HollowProcessHandle each : cluster.hollow()) {
            long[] some = each.events(range.from(), range.to()).lastMs();
            for (int i = 0; i < some.length; i++) {
                lastMs[i] = Math.max(lastMs[i], some[i]);
            }
        }
        return lastMs;
    }

    /** Returns the deliveries since the start that followed, at one director, an event published later. */
    long outOfOrder() throws IOException {
        long all = 0;
        for (HollowProcessHandle each : cluster.hollow()) {
            all += each.events(0, 0).outOfOrder();
        }
        return all;
    }

    private void addRealDeliveryFigures(Figures figures, EventRange range) throws IOException {
        long[] lastMs = new long[range.events()];
        long delivered = 0;
        long outOfOrder = 0;
        for (int i = 0; i < cluster.real().size(); i++) {
            int latest = -1;
            for (Cluster.LoggedEvent each : cluster.loggedEvents(i)) {
                if (each.event() >= range.from() && each.event() < range.to()) {
                    delivered++;
                    int index = each.event() - range.from();
                    lastMs[index] = Math.max(lastMs[index], each.atMs());
                    outOfOrder += each.event() < latest ? 1 : 0;
                    latest = Math.max(latest, each.event());
                }
            }
        }
        long expected = range.events() * (long) cluster.real().size();
        addLatencies(figures, Figures.REAL, lastMs, range);
        figures.add(Figures.REAL, "lost", expected - delivered, "deliveries", "of " + expected);
        figures.add(Figures.REAL, "misordered", outOfOrder, "deliveries", OUT_OF_ORDER_NOTE);
    }

    private void addLatencies(Figures figures, String kind, long[] lastMs, EventRange range) {
        Histogram histogram = new Histogram(MAX_LATENCY_MS, 3);
        for (int i = 0; i < lastMs.length; i++) {
            if (lastMs[i] > 0) {
                histogram.recordValue(Math.max(0, lastMs[i] - publishedMs.get(range.from() + i)));
            }
        }
        String note = "until in force at the last " + kind + " director";
        figures.add(kind, "event_p50_s", histogram.getValueAtPercentile(50) / 1000.0, "s", note);
        figures.add(kind, "event_p99_s", histogram.getValueAtPercentile(99) / 1000.0, "s", note);
        figures.add(kind, "event_most_s", histogram.getMaxValue() / 1000.0, "s", note);
    }

    /** Returns the expected deliveries; the director that publishes an event is not notified of it. */
    private long expected(EventRange range) {
        return range.events() * (hollow.size() - 1L);
    }

    private long missing(EventRange range) throws IOException {
        long delivered = 0;
        for (HollowProcessHandle each : cluster.hollow()) {
            for (int count : each.events(range.from(), range.to()).counts()) {
                delivered += count;
            }
        }
        return expected(range) - delivered;
    }
}
