package clovermill.module;

import clovermill.CacheRouter.Purge;
import clovermill.CacheRouter.Request;
import clovermill.memory.DecayingCounts;
import clovermill.memory.LruMap;
import clovermill.memory.PurgeLog;
import java.util.HashMap;
import java.util.Map;

/** Which cache is believed to hold which part, how often a node of its tree was passed, and how old a copy may be. */
final class CacheContentsIndex {

    /** A belief that nothing confirms fades after this time (the design's default). */
    private static final long BELIEF_US = 30_000_000;
    /** The counts of passed nodes are halved this often (the design's default). */
    private static final long HALVING_US = 10_000_000;
    /** Parts remembered, the longest unused go first: bounds memory to some megabytes. */
    private static final int PARTS_KEPT = 30_000;

    private final RoutingContext state;
    private final PurgeLog purges = new PurgeLog();
    private final Map<PartKey, Copies> parts = new LruMap<>(PARTS_KEPT);

    CacheContentsIndex(RoutingContext state) {
        this.state = state;
    }

    private record PartKey(long object, int part) {}

    /** What is known of one part: who is believed to hold it since when, and the passes of its nodes. */
    record Copies(Map<Endpoint, Long> heldSince, DecayingCounts passes) {}

    Copies of(Request request) {
        return parts.computeIfAbsent(new PartKey(request.object(), request.part()),
                key -> new Copies(new HashMap<>(4), new DecayingCounts(HALVING_US)));
    }

    /** Whether a cache is believed to hold a part: confirmed lately, since its start and since any purge. */
    boolean holds(Copies copies, Endpoint cache, Request request) {
        long since = copies.heldSince.getOrDefault(cache, RoutingContext.NEVER);
        return state.now - since <= BELIEF_US && since >= cache.startedUs
                && purges.seenAfter(request.object(), request.group(), since);
    }

    void believe(Request request, Endpoint cache, boolean holds) {
        of(request).heldSince.put(cache, holds ? state.now : RoutingContext.NEVER);
    }

    /** Kept until every belief from before it has faded. */
    void purged(Purge purge) {
        purges.add(purge.object(), purge.group(), state.now - purge.ageUs(), state.now,
                BELIEF_US + state.settings.purgeDoneUs());
    }

    /** When the latest purge was made whose older copies, or a fill of one, may still be about; or NEVER. */
    long purgedUs(Request request) {
        return purges.madeUs(request.object(), request.group(), state.now, state.settings.purgeDoneUs());
    }

    /** The greatest age that will do: the fresh time, and nothing from before a purge. */
    long maxAge(PendingRequest pending) {
        long fresh = pending.kind.freshUs();
        long madeUs = purgedUs(pending.request);
        long since = madeUs == PurgeLog.NEVER ? fresh : Math.max(1, state.now - madeUs - 1);
        return fresh == 0 ? since : Math.min(fresh, since);
    }
}
