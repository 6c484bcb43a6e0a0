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
 * A cache whose transfers share its link: as many as its capacity run at full pace, more are slowed evenly. It caches
 * objects by LRU, its capacity grows linearly after a cold start, and it fails if it
 * gets too much work while cold. Times are microseconds. Not thread-safe.
 */
public final class EmulatedCache {

    /** Open transfers from which on it rejects work, in multiples of its capacity. */
    private static final double FULL_FACTOR = 5;
    /** Tolerance of the cold-start budget, in requests: what the last one overdraws. */
    private static final double SLACK_REQUESTS = 2;

    /** An open transfer. */
    public static final class Transfer {
        public final Runnable done;
        final boolean fill;
        double leftUs;
        double waitUs;

        /** A transfer that calls {@code done} after it has waited and its work at full pace is done. */
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
    public double pace = 1;
    boolean reportsSuppressed;
    public boolean draining;
    boolean failed;
    int activeFills;
    private double transferTimeUs;

    /**
     * A cache that starts cold, or warm if {@code startedUs} is 0.
     *
     * @param declaredCapacity transfers at full pace that the list of members states
     * @param capacity transfers at full pace in truth
     * @param phase part of a report's period by which its reports are shifted
     * @param rule how it warms up, and how much work it can take meanwhile
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

    /** The part of its capacity that is available, 1 when it is warm. */
    public double warmUpFraction(long now) {
        return startedUs == 0 ? 1
                : Math.min(1, rule.initialShare() + (1 - rule.initialShare()) * (now - startedUs) / rule.durationUs());
    }

    /** Whether it is still warming up. */
    public boolean cold(long now) {
        return warmUpFraction(now) < 1;
    }

    /** The transfers that run at full pace now. */
    public double currentCapacity(long now) {
        return capacity * pace * warmUpFraction(now);
    }

    /** Whether it rejects further work. */
    public boolean full() {
        return open.size() >= FULL_FACTOR * capacity;
    }

    /** Whether an object is cached, which counts as a use; {@code keep} caches it after a miss. */
    public boolean lookUp(long object, boolean keep) {
        boolean hit = cached.get(object) != null;
        if (!hit && keep) {
            cached.put(object, true);
        }
        return hit;
    }

    /** Counts work that arrives while it is cold; true, once, if it fails by too much of it. */
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
     * Advances the transfers by a step, fills at {@code link} of full pace at most; returns those that are complete.
     * Their number is summed up for the mean load.
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

    /** The mean number of transfers since the last call, relative to the current capacity; starts the next mean. */
    public double load(long now, double spanUs) {
        double load = transferTimeUs / spanUs / currentCapacity(now);
        transferTimeUs = 0;
        return load;
    }

    /** Makes a load report, which answers carry after the delay. */
    public void report(long now, long delayUs, double noise, double linkUse) {
        double held = Math.max(0, open.size() * (1 + noise));
        reports.add(new Report(now + delayUs, new LoadReport(held * pace, Math.min(1, held / capacity), linkUse)));
    }

    /** The load report that an answer carries; null before the first one, and while they are suppressed. */
    public LoadReport visibleReport(long now, boolean frozen) {
        while (!frozen && !reports.isEmpty() && reports.peek().visibleUs <= now) {
            visibleLoad = reports.poll().load;
        }
        return reportsSuppressed ? null : visibleLoad;
    }
}
