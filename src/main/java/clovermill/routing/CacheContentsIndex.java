package clovermill.routing;

import clovermill.routing.api.Purge;
import clovermill.routing.api.Request;
import clovermill.routing.stats.DecayingCounts;
import clovermill.routing.stats.LruMap;
import clovermill.routing.stats.PurgeLog;
import java.util.HashMap;
import java.util.Map;

/**
 * An index, by this director's own observations, of which cache holds which part; with it how often requests for a part
 * have passed each node of its object's tree, and which purges bound the age of a copy.
 */
final class CacheContentsIndex {

    /** An entry that nothing confirms expires after this time (the design's default). */
    private static final long ENTRY_LIFETIME_US = 30_000_000;
    /** The counts of requests that passed a tree node are halved this often (the design's default). */
    private static final long PASS_COUNT_HALVING_US = 10_000_000;
    /** Parts remembered; the least recently used are evicted, which bounds memory to some megabytes. */
    private static final int MAX_PARTS = 30_000;

    private final RoutingContext context;
    private final PurgeLog purges = new PurgeLog();
    private final Map<PartKey, PartEntry> parts = new LruMap<>(MAX_PARTS);

    CacheContentsIndex(RoutingContext context) {
        this.context = context;
    }

    private record PartKey(long object, int part) {}

    /** What is known of one part: when each cache last confirmed a copy, and the passes of each tree node. */
    record PartEntry(Map<Endpoint, Long> confirmedUs, DecayingCounts passes) {}

    /** The entry of the part that a request asks for; a new one where none is remembered. */
    PartEntry entryFor(Request request) {
        return parts.computeIfAbsent(new PartKey(request.object(), request.part()),
                key -> new PartEntry(new HashMap<>(4), new DecayingCounts(PASS_COUNT_HALVING_US)));
    }

    /** Whether a cache is believed to hold a part: confirmed lately, since the cache's start and any purge. */
    boolean isHeldBy(PartEntry entry, Endpoint cache, Request request) {
        long confirmedUs = entry.confirmedUs.getOrDefault(cache, RoutingContext.NEVER);
        return context.nowUs - confirmedUs <= ENTRY_LIFETIME_US && confirmedUs >= cache.startedUs
                && purges.confirmedSincePurge(request.object(), request.group(), confirmedUs);
    }

    /** Records that a cache holds the part of a request, or that it does not. */
    void recordHolder(Request request, Endpoint cache, boolean holds) {
        entryFor(request).confirmedUs.put(cache, holds ? context.nowUs : RoutingContext.NEVER);
    }

    /** Records a purge; it is remembered until every entry from before it has expired. */
    void recordPurge(Purge purge) {
        purges.add(purge.object(), purge.group(), context.nowUs - purge.ageUs(), context.nowUs,
                ENTRY_LIFETIME_US + context.settings.purgeCompletionUs());
    }

    /** When the latest purge was made whose older copies, or a fill of one, may still be about; or NEVER. */
    long activePurgeUs(Request request) {
        return purges.latestPurgeUs(request.object(), request.group(), context.nowUs,
                context.settings.purgeCompletionUs());
    }

    /** The greatest age of a copy that may be served, in microseconds: fresh, and from after any purge; 0 for any. */
    long maxAgeUs(PendingRequest pending) {
        long freshUs = pending.requestClass.freshUs();
        long purgeUs = activePurgeUs(pending.request);
        long sincePurgeUs = purgeUs == PurgeLog.NEVER ? freshUs : Math.max(1, context.nowUs - purgeUs - 1);
        return freshUs == 0 ? sincePurgeUs : Math.min(freshUs, sincePurgeUs);
    }
}
