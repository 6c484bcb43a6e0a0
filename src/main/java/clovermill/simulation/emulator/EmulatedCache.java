package clovermill.simulation.emulator;

import clovermill.routing.api.LoadReport;
import clovermill.routing.api.SlowStartRule;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A cache whose transfers share its link: up to its capacity they run at full rate; beyond that, all are slowed
 * equally. It evicts the least recently used object, its capacity grows linearly after a cold start, and it fails if it
 * receives too much work while cold. Times are in microseconds. Not thread-safe.
 */
public final class EmulatedCache {

    /** Number of open transfers at which it starts to reject work, as a multiple of its capacity. */
    private static final double FULL_FACTOR = 5;
    /** Tolerance of the cold-start work budget, in requests: covers the overdraft of the last one. */
    private static final double SLACK_REQUESTS = 2;

    /** An open transfer. */
    public static final class Transfer {
        public final Runnable done;
        final boolean fill;
        double leftUs;
        double waitUs;

        /**
         * Creates a transfer.
         *
         * @param done called on completion
         * @param workUs time that it takes at full rate
         * @param waitUs time before the first byte
         */
        public Transfer(Runnable done, boolean fill, double workUs, double waitUs) {
            this.done = done;
            this.fill = fill;
            this.leftUs = workUs;
            this.waitUs = waitUs;
        }
    }

    private record Report(long visibleUs, LoadReport load) {}

    private record Arrival(long atUs, double workUs) {}

    public final String id;
    public final double declaredCapacity;
    public final long startedUs;
    final double phase;
    private final double capacity;
    private final SlowStartRule rule;
    private final Map<Long, Boolean> cached;
    private final Deque<Report> reports = new ArrayDeque<>();
    private final Deque<Arrival> recentWork = new ArrayDeque<>();
    /** The open transfers. */
    public final List<Transfer> open = new ArrayList<>();
    private LoadReport visibleLoad;
    public double speedFactor = 1;
    boolean reportsSuppressed;
    public boolean draining;
    boolean failed;
    int activeFills;
    private double transferTimeUs;

    /**
     * Creates a cache that starts cold, or warm if {@code startedUs} is 0.
     *
     * @param declaredCapacity transfers at full rate according to the member list
     * @param capacity actual number of transfers at full rate
     * @param phase fraction of the report period by which its reports are shifted
     * @param rule how it warms up, and how much work it can accept meanwhile
     */
    public EmulatedCache(String id, double declaredCapacity, double capacity, long startedUs, double phase,
            int maxCachedObjects,
            SlowStartRule rule) {
        this.id = id;
        this.declaredCapacity = declaredCapacity;
        this.capacity = capacity;
        this.startedUs = startedUs;
        this.phase = phase;
        this.rule = rule;
        this.cached = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                return size() > maxCachedObjects;
            }
        };
    }

    /** Returns the available share of its capacity, 1 when it is warm. */
    public double warmUpFraction(long now) {
        return startedUs == 0 ? 1
                : Math.min(1, rule.initialShare() + (1 - rule.initialShare()) * (now - startedUs) / rule.durationUs());
    }

    /** Returns whether it is still warming up. */
    public boolean cold(long now) {
        return warmUpFraction(now) < 1;
    }

    /** Returns the number of transfers that can run at full rate now. */
    public double currentCapacity(long now) {
        return capacity * speedFactor * warmUpFraction(now);
    }

    /** Returns whether it rejects further work. */
    public boolean full() {
        return open.size() >= FULL_FACTOR * capacity;
    }

    /** Returns whether an object is cached, and marks it as used; after a miss, caches it if {@code keep} is set. */
    public boolean lookUp(long object, boolean keep) {
        boolean hit = cached.get(object) != null;
        if (!hit && keep) {
            cached.put(object, true);
        }
        return hit;
    }

    /** Counts work that arrives while it is cold; returns true, once, if this work makes it fail. */
    public boolean overloadedWhileCold(long now, double workUs) {
        if (!cold(now) || failed) {
            return false;
        }
        recentWork.add(new Arrival(now, workUs));
        while (recentWork.peek().atUs <= now - rule.overloadWindowUs()) {
            recentWork.poll();
        }
        double work = recentWork.stream().mapToDouble(each -> each.workUs).sum() - SLACK_REQUESTS * workUs;
        double meanWarmUpFraction = (warmUpFraction(now)
                + Math.max(rule.initialShare(), warmUpFraction(Math.max(startedUs, now - rule.overloadWindowUs()))))
                / 2;
        failed = work > rule.overloadMultiple() * capacity * meanWarmUpFraction * rule.overloadWindowUs();
        return failed;
    }

    /**
     * Advances the transfers by one step and returns those that are complete. Adds the time of each open transfer to
     * the mean load.
     *
     * @param link maximum rate of a fill, relative to full rate
     */
    public List<Transfer> step(long now, long stepUs, double link) {
        double share = Math.min(1, currentCapacity(now) / Math.max(1, open.size()));
        List<Transfer> done = new ArrayList<>();
        activeFills = 0;
        for (Transfer transfer : open) {
            transferTimeUs += stepUs;
            if (transfer.waitUs > 0) {
                transfer.waitUs -= stepUs;
            } else {
                transfer.leftUs -= stepUs * (transfer.fill ? Math.min(share, link) : share);
                activeFills += transfer.fill ? 1 : 0;
            }
            if (transfer.leftUs <= 0) {
                done.add(transfer);
            }
        }
        open.removeAll(done);
        return done;
    }

    /** Returns and resets the mean number of transfers since the last call, relative to the current capacity. */
    public double load(long now, double spanUs) {
        double load = transferTimeUs / spanUs / currentCapacity(now);
        transferTimeUs = 0;
        return load;
    }

    /** Creates a load report, which responses carry after the delay. */
    public void report(long now, long delayUs, double noise, double linkUse) {
        double concurrency = Math.max(0, open.size() * (1 + noise));
        reports.add(new Report(now + delayUs,
                new LoadReport(concurrency * speedFactor, Math.min(1, concurrency / capacity), linkUse)));
    }

    /** Returns the load report that a response carries; null before the first report and while they are suppressed. */
    public LoadReport visibleReport(long now, boolean frozen) {
        while (!frozen && !reports.isEmpty() && reports.peek().visibleUs <= now) {
            visibleLoad = reports.poll().load;
        }
        return reportsSuppressed ? null : visibleLoad;
    }
}
