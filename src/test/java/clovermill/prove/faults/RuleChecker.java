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
 * Checks the requests that caches receive against the rules on purges, drains, slow start and effects. Times are
 * microseconds of one monotonic clock. Each window is the rule's plus the allowance for sockets and the time for which
 * a busy machine may delay a message. Not thread-safe.
 */
final class RuleChecker {

    /** Settings of the directors under test. */
    static final long PURGE_NOTICE_US = 1_000_000;
    static final long DRAIN_GRACE_US = 500_000;
    static final double SLOW_START_INITIAL_SHARE = 0.05;
    static final long SLOW_START_US = 60_000_000;
    static final double OVERLOAD_MULTIPLE = 3;
    static final long OVERLOAD_WINDOW_US = 3_000_000;
    static final long EFFECT_WINDOW_US = 3_000_000;
    /** The protocol allows 50 ms more for every window on sockets; the rest is margin for a busy machine. */
    static final long SLACK_US = 150_000;
    /** Purge timestamps are in whole milliseconds. */
    private static final long PURGE_DATE_TOLERANCE_US = 5_000;
    private static final int FEW_CALLS = 30;
    private static final int MAX_FINDINGS = 4;

    private record Purge(Long object, int group, long atUs) {
        boolean covers(long key, int keyGroup) {
            return object == null ? group == keyGroup : object == key;
        }
    }

    /** A started cache and the arrival times of its requests within the last window. */
    private static final class ColdCache {
        private final long startedUs;
        private final Deque<Long> arrivals = new ArrayDeque<>();
        private boolean overloaded;

        ColdCache(long startedUs) {
            this.startedUs = startedUs;
        }
    }

    private final double callsPerSecond;
    private final List<Purge> purges = new ArrayList<>();
    private final Map<String, Long> drains = new HashMap<>();
    private final Map<String, ColdCache> starts = new HashMap<>();
    private final Map<String, Long> effects = new HashMap<>();
    private final Set<String> duplicateTokens = new HashSet<>();
    private final List<String> findings = new ArrayList<>();
    private long stale;
    private long drained;
    private long overloaded;

    /** Creates a checker for caches with a capacity of so many calls a second when warm. */
    RuleChecker(double callsPerSecond) {
        this.callsPerSecond = callsPerSecond;
    }

    /** Records that an object, or the group if {@code object} is null, is purged and announced now. */
    void purged(Long object, int group, long nowUs) {
        purges.add(new Purge(object, group, nowUs));
    }

    /** Records that the drain of a cache is announced to the directors now. */
    void drainStarted(String cache, long nowUs) {
        drains.put(cache, nowUs);
    }

    /** Records that a cache is not draining any more. */
    void drainEnded(String cache) {
        drains.remove(cache);
    }

    /** Records that a cold cache starts now. */
    void cacheStarted(String cache, long nowUs) {
        starts.put(cache, new ColdCache(nowUs));
    }

    /** Checks a request that a cache received. */
    void requestReceived(String cache, long nowUs) {
        fillRequested(cache, nowUs);
        ColdCache cold = starts.get(cache);
        if (cold != null) {
            cold.arrivals.add(nowUs);
            while (cold.arrivals.peek() < nowUs - OVERLOAD_WINDOW_US) {
                cold.arrivals.remove();
            }
            if (!cold.overloaded && cold.arrivals.size() > maxCalls(cold.startedUs, nowUs)) {
                cold.overloaded = true;
                overloaded++;
                addFinding("overloaded: " + cache + " " + cold.arrivals.size() + " calls, "
                        + toMs(nowUs - cold.startedUs) + " ms after its start");
            }
        }
    }

    /** Checks a request that names a cache as the source of a fill. */
    void fillRequested(String cache, long nowUs) {
        Long since = drains.get(cache);
        if (since != null && nowUs > since + DRAIN_GRACE_US + SLACK_US) {
            drained++;
            addFinding("drained: " + cache + " " + toMs(nowUs - since) + " ms after the drain was announced");
        }
    }

    /**
     * Checks a response served from a copy.
     *
     * @param arrivedUs when the request arrived
     * @param copiedUs when the copy was made
     */
    void responseServed(long key, int group, long arrivedUs, long copiedUs) {
        for (Purge purge : purges) {
            if (purge.covers(key, group) && copiedUs < purge.atUs - PURGE_DATE_TOLERANCE_US
                    && arrivedUs > purge.atUs + PURGE_NOTICE_US + SLACK_US) {
                stale++;
                addFinding("stale: object " + key + " requested " + toMs(arrivedUs - purge.atUs)
                        + " ms after a purge, copy made " + toMs(purge.atUs - copiedUs) + " ms before it");
                return;
            }
        }
    }

    /** Checks a request with an effect that was executed; the origin deduplicates repeats within a window only. */
    void effectExecuted(String token, long nowUs) {
        Long first = effects.putIfAbsent(token, nowUs);
        if (first != null && nowUs > first + EFFECT_WINDOW_US) {
            duplicateTokens.add(token);
            addFinding("duplicate: executed again after " + toMs(nowUs - first) + " ms");
        }
    }

    /** Returns the calls that a cache may receive within the window that ends now, with a margin for chance. */
    private double maxCalls(long startedUs, long nowUs) {
        long from = Math.max(startedUs, nowUs - OVERLOAD_WINDOW_US);
        double meanShare = (capacityShare(from - startedUs) + capacityShare(nowUs - startedUs)) / 2;
        // The bound is a budget for the whole window, also if the cache started within it.
        double calls = OVERLOAD_MULTIPLE * callsPerSecond * meanShare * OVERLOAD_WINDOW_US / 1e6;
        return calls < FEW_CALLS ? calls + 3 * Math.sqrt(calls) + 3 : calls + 2 * Math.sqrt(calls) + 2;
    }

    private static double capacityShare(long ageUs) {
        return Math.min(1, SLOW_START_INITIAL_SHARE + (1 - SLOW_START_INITIAL_SHARE) * ageUs / SLOW_START_US);
    }

    private void addFinding(String finding) {
        if (findings.size() < MAX_FINDINGS) {
            findings.add(finding);
        }
    }

    private static long toMs(long us) {
        return us / 1000;
    }

    /** Returns messages that describe the first violations. */
    List<String> findings() {
        return List.copyOf(findings);
    }

    /** Returns the violations counted so far; faults and lost requests are not counted here. */
    Verdict verdict() {
        return new Verdict(0, 0, duplicateTokens.size(), stale, drained, overloaded);
    }
}
