package clovermill.routing;

import clovermill.routing.api.Purge;
import clovermill.routing.api.Request;
import clovermill.routing.stats.CompactIntLongMap;
import clovermill.routing.stats.DecayingCounts;
import clovermill.routing.stats.PurgeLog;
import clovermill.routing.stats.WeightedLruMap;

/**
 * An index of the parts that each cache has, from this director's own observations. It also counts the requests for a
 * part that passed each node of its object's tree, and records the purges that bound the age of a copy. The parts are
 * bounded by the bytes that they take; the least recently requested ones are evicted.
 */
final class CacheContentsIndex {

    /** Time after which an entry that is not confirmed again expires. */
    private static final long ENTRY_LIFETIME_US = 30_000_000;
    /** Interval at which the counts of requests that passed a tree node are halved. */
    private static final long PASS_COUNT_HALVING_US = 10_000_000;
    /** Bytes of a part without its copies and passes: the objects of its entry, its key and its place in the map. */
    private static final long PART_BYTES = 200;
    /** Maximum number of purges that are kept apart, some two megabytes; see {@link PurgeLog} for what is beyond. */
    private static final int MAX_PURGES = 20_000;

    private final RoutingContext context;
    private final PurgeLog purges = new PurgeLog(MAX_PURGES);
    private final WeightedLruMap<PartKey, PartEntry> parts;

    /** Creates an empty index, the parts of which take at most {@code maxBytes} of heap. */
    CacheContentsIndex(RoutingContext context, long maxBytes) {
        this.context = context;
        this.parts = new WeightedLruMap<>(maxBytes, PartEntry::bytes);
    }

    private record PartKey(long object, int part) {}

    /** The entry of a part. Only this index changes it. */
    static final class PartEntry {
        /** The times at which caches last confirmed a copy, by the number of the cache. */
        private final CompactIntLongMap confirmedUs = new CompactIntLongMap();
        /** The requests that passed each tree node. */
        private final DecayingCounts passes = new DecayingCounts(PASS_COUNT_HALVING_US);

        private long bytes() {
            return PART_BYTES + confirmedUs.bytes() + passes.bytes();
        }
    }

    /** Returns the current entry of the requested part; creates it if there is none. */
    PartEntry entryFor(Request request) {
        PartEntry entry = parts.getOrCreate(new PartKey(request.object(), request.part()), PartEntry::new);
        long bytesBefore = entry.bytes();
        if (entry.passes.advance(context.nowUs)) {
            entry.confirmedUs.replaceAll(confirmedUs -> hasExpired(confirmedUs) ? 0 : confirmedUs);
            parts.addWeight(entry.bytes() - bytesBefore);
        }
        return entry;
    }

    private boolean hasExpired(long confirmedUs) {
        return context.nowUs - confirmedUs > ENTRY_LIFETIME_US;
    }

    /** Returns whether a cache probably has a part: confirmed recently, after the cache's start and any purge. */
    boolean isCachedAt(PartEntry entry, Endpoint cache, Request request) {
        long confirmedUs = entry.confirmedUs.get(cache.number);
        return confirmedUs != 0 && !hasExpired(confirmedUs) && confirmedUs >= cache.startedUs
                && purges.confirmedSincePurge(request.object(), request.group(), confirmedUs);
    }

    /** Records whether a cache has a copy of the requested part. */
    void recordCopy(Request request, Endpoint cache, boolean hasCopy) {
        PartEntry entry = entryFor(request);
        long bytesBefore = entry.bytes();
        entry.confirmedUs.put(cache.number, hasCopy ? context.nowUs : 0);
        parts.addWeight(entry.bytes() - bytesBefore);
    }

    /** Returns the requests that recently passed a node of a part's tree; older ones count less. */
    double passes(PartEntry entry, int treeNode) {
        return entry.passes.count(treeNode);
    }

    /** Counts a request that passed a node of the tree of the part whose entry was returned last. */
    void recordPass(PartEntry entry, int treeNode) {
        long bytesBefore = entry.bytes();
        entry.passes.increment(treeNode);
        parts.addWeight(entry.bytes() - bytesBefore);
    }

    /** Returns the number of parts in the index. */
    int size() {
        return parts.size();
    }

    /** Returns the heap that the parts take, in bytes. */
    long bytes() {
        return parts.weight();
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
