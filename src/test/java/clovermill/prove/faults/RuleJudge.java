package clovermill.prove.faults;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds what caches see against the rules on purges, drains, slow start and effects. Times are microseconds of one
 * monotonic clock. Each window is longer than the rule's by what sockets are granted and by the time for which a busy
 * machine may keep a message. Used from one thread.
 */
final class RuleJudge {

    /** What the settings of the directors under test say. */
    static final long PURGE_NOTICE_US = 1_000_000;
    static final long DRAIN_GRACE_US = 500_000;
    static final double COLD_PART = 0.05;
    static final long WARM_UP_US = 60_000_000;
    static final double OVERLOAD_MULTIPLE = 3;
    static final long OVERLOAD_WINDOW_US = 3_000_000;
    static final long EFFECT_WINDOW_US = 3_000_000;
    /** The page on sockets grants 50 ms to every window; the rest is for the machine. */
    static final long SLACK_US = 150_000;
    /** Purges are dated in whole milliseconds. */
    private static final long DATE_STEP_US = 5_000;
    private static final int FEW_CALLS = 30;
    private static final int MOST_NOTES = 4;

    private record PurgeMade(Long object, int group, long atUs) {
        boolean covers(long key, int keyGroup) {
            return object == null ? group == keyGroup : object == key;
        }
    }

    /** A cache that started, and when requests came to it within the last window. */
    private static final class ColdCache {
        private final long startedUs;
        private final Deque<Long> arrivals = new ArrayDeque<>();
        private boolean overloaded;

        ColdCache(long startedUs) {
            this.startedUs = startedUs;
        }
    }

    private final double callsPerSecond;
    private final List<PurgeMade> purges = new ArrayList<>();
    private final Map<String, Long> drains = new HashMap<>();
    private final Map<String, ColdCache> starts = new HashMap<>();
    private final Map<String, Long> effects = new HashMap<>();
    private final Set<String> repeated = new HashSet<>();
    private final List<String> notes = new ArrayList<>();
    private long stale;
    private long drained;
    private long overloaded;

    /** Caches that bear so many calls a second when warm. */
    RuleJudge(double callsPerSecond) {
        this.callsPerSecond = callsPerSecond;
    }

    /** An object, or with null a group, is purged and told now. */
    void purged(Long object, int group, long nowUs) {
        purges.add(new PurgeMade(object, group, nowUs));
    }

    /** From now on the directors are told that a cache drains. */
    void draining(String cache, long nowUs) {
        drains.put(cache, nowUs);
    }

    /** A cache drains no more. */
    void back(String cache) {
        drains.remove(cache);
    }

    /** A cache starts now, cold. */
    void started(String cache, long nowUs) {
        starts.put(cache, new ColdCache(nowUs));
    }

    /** A request came to a cache. */
    void request(String cache, long nowUs) {
        fillFrom(cache, nowUs);
        ColdCache cold = starts.get(cache);
        if (cold != null) {
            cold.arrivals.add(nowUs);
            while (cold.arrivals.peek() < nowUs - OVERLOAD_WINDOW_US) {
                cold.arrivals.remove();
            }
            if (!cold.overloaded && cold.arrivals.size() > mostCalls(cold.startedUs, nowUs)) {
                cold.overloaded = true;
                overloaded++;
                note("overloaded: " + cache + " " + cold.arrivals.size() + " calls, "
                        + millis(nowUs - cold.startedUs) + " ms after its start");
            }
        }
    }

    /** A request names a cache as the source of a fill. */
    void fillFrom(String cache, long nowUs) {
        Long since = drains.get(cache);
        if (since != null && nowUs > since + DRAIN_GRACE_US + SLACK_US) {
            drained++;
            note("drained: " + cache + " " + millis(nowUs - since) + " ms after it was told");
        }
    }

    /** A request that arrived at a time was answered with a copy made at a time. */
    void answered(long key, int group, long arrivedUs, long madeUs) {
        for (PurgeMade purge : purges) {
            if (purge.covers(key, group) && madeUs < purge.atUs - DATE_STEP_US
                    && arrivedUs > purge.atUs + PURGE_NOTICE_US + SLACK_US) {
                stale++;
                note("stale: object " + key + " asked for " + millis(arrivedUs - purge.atUs)
                        + " ms after a purge, copy made " + millis(purge.atUs - madeUs) + " ms before it");
                return;
            }
        }
    }

    /** A request with an effect ran; the origin drops repeats for a window, and no longer. */
    void ran(String token, long nowUs) {
        Long first = effects.putIfAbsent(token, nowUs);
        if (first != null && nowUs > first + EFFECT_WINDOW_US) {
            repeated.add(token);
            note("duplicate: ran again after " + millis(nowUs - first) + " ms");
        }
    }

    /** The calls that a cache may get within the window that ends now: N, and what is chance. */
    private double mostCalls(long startedUs, long nowUs) {
        long from = Math.max(startedUs, nowUs - OVERLOAD_WINDOW_US);
        double meanPart = (part(from - startedUs) + part(nowUs - startedUs)) / 2;
        // The bound is on the whole window also where the cache is younger: it is a budget.
        double calls = OVERLOAD_MULTIPLE * callsPerSecond * meanPart * OVERLOAD_WINDOW_US / 1e6;
        return calls < FEW_CALLS ? calls + 3 * Math.sqrt(calls) + 3 : calls + 2 * Math.sqrt(calls) + 2;
    }

    private static double part(long ageUs) {
        return Math.min(1, COLD_PART + (1 - COLD_PART) * ageUs / WARM_UP_US);
    }

    private void note(String what) {
        if (notes.size() < MOST_NOTES) {
            notes.add(what);
        }
    }

    private static long millis(long micros) {
        return micros / 1000;
    }

    /** The first things found, in words. */
    List<String> notes() {
        return List.copyOf(notes);
    }

    /** What was found so far; faults and lost requests are not counted here. */
    Verdict verdict() {
        return new Verdict(0, 0, repeated.size(), stale, drained, overloaded);
    }
}
