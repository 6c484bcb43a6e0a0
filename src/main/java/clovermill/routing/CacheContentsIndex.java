package clovermill.routing;

import clovermill.routing.api.Purge;
import clovermill.routing.api.Request;
import clovermill.routing.stats.DecayingCounts;
import clovermill.routing.stats.LruMap;
import clovermill.routing.stats.PurgeLog;
import java.util.HashMap;
import java.util.Map;

/**
 * An index of the parts that each cache has, from this director's own observations. It also counts the requests for a
 * part that passed each node of its object's tree, and records the purges that bound the age of a copy.
 */
final class CacheContentsIndex {

    /** Time after which an entry that is not confirmed again expires. */
    private static final long ENTRY_LIFETIME_US = 30_000_000;
    /** Interval at which the counts of requests that passed a tree node are halved. */
    private static final long PASS_COUNT_HALVING_US = 10_000_000;
    /** Maximum number of indexed parts, which bounds memory to some megabytes; evicted by LRU. */
    private static final int MAX_PARTS = 30_000;

    private final RoutingContext context;
    private final PurgeLog purges = new PurgeLog();
    private final Map<PartKey, PartEntry> parts = new LruMap<>(MAX_PARTS);

    CacheContentsIndex(RoutingContext context) {
        this.context = context;
    }

    private record PartKey(long object, int part) {}

    /** The entry of a part: the time at which each cache last confirmed a copy, and the passes of each tree node. */
    record PartEntry(Map<Endpoint, Long> confirmedUs, DecayingCounts passes) {}

    /** Returns the entry of the requested part; creates it if there is none. */
    PartEntry entryFor(Request request) {
        return parts.computeIfAbsent(new PartKey(request.object(), request.part()),
                key -> new PartEntry(new HashMap<>(4), new DecayingCounts(PASS_COUNT_HALVING_US)));
    }

    /** Returns whether a cache probably has a part: confirmed recently, after the cache's start and any purge. */
    boolean isCachedAt(PartEntry entry, Endpoint cache, Request request) {
        long confirmedUs = entry.confirmedUs.getOrDefault(cache, RoutingContext.NEVER);
        return context.nowUs - confirmedUs <= ENTRY_LIFETIME_US && confirmedUs >= cache.startedUs
                && purges.confirmedSincePurge(request.object(), request.group(), confirmedUs);
    }

    /** Records whether a cache has a copy of the requested part. */
    void recordCopy(Request request, Endpoint cache, boolean hasCopy) {
        entryFor(request).confirmedUs.put(cache, hasCopy ? context.nowUs : RoutingContext.NEVER);
    }

    /** Records a purge; it is retained until every entry from before it has expired. */
    void recordPurge(Purge purge) {
        purges.add(purge.object(), purge.group(), context.nowUs - purge.ageUs(), context.nowUs,
                ENTRY_LIFETIME_US + context.settings.purgeCompletionUs());
    }

    /** Returns the time of the latest purge before which copies or fills may still exist, or NEVER. */
    long activePurgeUs(Request request) {
        return purges.latestPurgeUs(request.object(), request.group(), context.nowUs,
                context.settings.purgeCompletionUs());
    }

    /** Returns the maximum age of a copy that is fresh and newer than any purge, in microseconds; 0 for any age. */
    long maxAgeUs(PendingRequest pending) {
        long freshUs = pending.requestClass.freshUs();
        long purgeUs = activePurgeUs(pending.request);
        long sincePurgeUs = purgeUs == PurgeLog.NEVER ? freshUs : Math.max(1, context.nowUs - purgeUs - 1);
        return freshUs == 0 ? sincePurgeUs : Math.min(freshUs, sincePurgeUs);
    }
}
