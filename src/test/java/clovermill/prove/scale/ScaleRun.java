package clovermill.prove.scale;

import java.util.List;

/** The measurements at one size: traffic and cost at each event rate, a partition, and policy changes. */
final class ScaleRun {

    /**
     * The durations and event rates of a run.
     *
     * @param rates events a second; empty if only policy changes are measured
     * @param partitionMs duration of the partition of a region; 0 for none
     * @param voidsOnOverload true if figures are void on an overloaded machine; false if only counts are checked
     */
    record Schedule(List<Double> rates, long settleMs, long measureMs, long partitionMs, int changes,
            boolean voidsOnOverload) {}

    /** The kind of rows on policy changes. */
    static final String CHANGE = "change";
    private static final double PARTITION_EVENT_RATE = 9.1;
    private static final long PARTITION_DELIVERY_TIMEOUT_MS = 30_000;
    private static final int PARTITIONED_REGION = 5;
    private static final String ZERO_RATE = "0";
    private static final double MS_PER_S = 1000;

    private final Cluster cluster;
    private final Schedule schedule;
    private final ResultTable table;
    private final TickProbe probe;
    private final EventLoad events;
    private final PolicyChanges policies;
    private final int size;
    private final long startNs = System.nanoTime();

    ScaleRun(Cluster cluster, Schedule schedule, ResultTable table, TickProbe probe, long seed) {
        this.cluster = cluster;
        this.schedule = schedule;
        this.table = table;
        this.probe = probe;
        this.events = new EventLoad(cluster, seed);
        this.policies = new PolicyChanges(cluster, seed);
        this.size = cluster.shape().size();
    }

    /** Runs all measurements and adds their figures to the table. */
    void run() throws Exception {
        policies.awaitFirst();
        progress("the policy is in force at all directors");
        Thread.sleep(schedule.settleMs());
        for (double rate : schedule.rates()) {
            measure(rate);
            progress("measured at " + rateLabel(rate) + " events a second");
        }
        if (schedule.partitionMs() > 0) {
            measurePartition();
            progress("partition measured");
        }
        if (schedule.changes() > 0) {
            measureChanges();
            progress("policy changes measured");
        }
    }

    private void progress(String message) {
        System.err.printf("size %d, %.1f s: %s%n", size, (System.nanoTime() - startNs) / 1e9, message);
    }

    private static String rateLabel(double rate) {
        return rate == Math.rint(rate) ? "" + (long) rate : "" + rate;
    }

    private Figures figures(String rate, Snapshot before, Snapshot after) {
        return new Figures(table, size, rate, schedule.voidsOnOverload() ? after.overloadSince(before) : null);
    }

    private void measure(double rate) throws Exception {
        long outOfOrderBefore = events.outOfOrder();
        EventLoad.Publisher publisher = events.startPublishing(rate);
        Thread.sleep(schedule.settleMs());
        Snapshot before = Snapshot.of(cluster, probe);
        Thread.sleep(schedule.measureMs());
        Snapshot after = Snapshot.of(cluster, probe);
        EventLoad.EventRange range = publisher.stopAndAwait();
        Figures figures = figures(rateLabel(rate), before, after);
        new TrafficFigures(cluster, figures, before, after).add();
        if (rate > 0) {
            events.addDeliveryFigures(figures, range, outOfOrderBefore);
        }
        TrafficFigures.memory(cluster, figures, events.count());
    }

    /** Partitions a region in one direction, then measures the time until events of that period are in force. */
    private void measurePartition() throws Exception {
        cluster.rules().partition(new LinkRules.Partition(i -> Topology.region(i) == PARTITIONED_REGION,
                i -> Topology.region(i) != PARTITIONED_REGION));
        EventLoad.Publisher publisher = events.startPublishing(PARTITION_EVENT_RATE);
        Thread.sleep(schedule.partitionMs());
        EventLoad.EventRange range = publisher.stopAndAwait();
        Snapshot before = Snapshot.of(cluster, probe);
        long healedMs = System.currentTimeMillis();
        cluster.rules().heal();
        long missing = events.awaitDelivered(range, PARTITION_DELIVERY_TIMEOUT_MS);
        long lastMs = healedMs;
        for (long each : events.lastMs(range)) {
            lastMs = Math.max(lastMs, each);
        }
        Figures figures = figures(rateLabel(PARTITION_EVENT_RATE), before, Snapshot.of(cluster, probe));
        figures.add("cut", "events", range.events(), "events", "put while nothing of one region reached the others for "
                + schedule.partitionMs() / MS_PER_S + " s");
        figures.add("cut", "heal_s", (lastMs - healedMs) / MS_PER_S, "s", "from the end of the cut until all have all");
        figures.add("cut", "lost", missing, "deliveries", "");
    }

    private void measureChanges() throws Exception {
        Snapshot before = Snapshot.of(cluster, probe);
        PolicyChanges.Outcome all = policies.change(schedule.changes());
        Snapshot after = Snapshot.of(cluster, probe);
        Figures figures = figures(ZERO_RATE, before, after);
        figures.add(CHANGE, "changes", all.inForce(), "changes", "in force everywhere of " + schedule.changes()
                + "; all directors up");
        if (all.inForce() == schedule.changes()) {
            figures.add(CHANGE, "change_most_s", all.hollowMaxS(), "s",
                    "until in force at the last hollow director");
        }
        if (all.inForce() == schedule.changes() && !cluster.real().isEmpty()) {
            figures.add(CHANGE, "change_real_most_s", all.realMaxS(), "s", "until seen at the last real director");
        }
        if (cluster.realIdle().isEmpty()) {
            return;
        }
        PolicyChanges.Outcome one = policies.changeWithOneStopped();
        figures = figures(ZERO_RATE, after, Snapshot.of(cluster, probe));
        figures.add(CHANGE, "change_one_stopped_s", one.inForce() == 1 ? one.hollowMaxS()
                : PolicyChanges.CHANGE_TIMEOUT_MS / MS_PER_S, "s",
                one.inForce() == 1
                        ? "one director stopped by SIGSTOP; until in force at the last other one"
                        : "not in force by then");
    }
}
