package clovermill.routing;

import clovermill.routing.CacheContentsIndex.PartEntry;
import clovermill.routing.Endpoint.Role;
import clovermill.routing.api.Request;
import clovermill.routing.api.SiblingScope;
import clovermill.routing.stats.HashRing;

/**
 * Selects the route of a request by the random tree of its object, after section 7 of "CS 7800 Lecture Notes:
 * Consistent Hashing": the nodes of the tree lie on the location's caches by consistent hashing; a request enters at a
 * random leaf and goes to the first node towards the root that is believed to hold the part; a node that many requests
 * have passed takes a copy. The cache at the root is the object's home.
 */
final class RouteSelector {

    /** Children of a tree node: the design's d. */
    private static final int ARITY = 2;
    /** Requests that pass a node before it takes a copy: the design's q. */
    private static final double PASSES_BEFORE_COPY = 8;
    /** Rank of every copy: the middle rank of homes; a lower one could not push out what the homes keep. */
    private static final int COPY_RANK = 2;
    /** Another endpoint relieves a loaded one only if it has this factor less utilization. */
    private static final double RELIEF_FACTOR = 2;
    private static final long POINT_STEP = 0x9E3779B97F4A7C15L;

    private final RoutingContext context;
    private final EndpointSet endpoints;
    private final CacheContentsIndex contents;
    private final CapacityEstimator capacity;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final OriginLoadShedder originShedder;

    RouteSelector(RoutingContext context, EndpointSet endpoints, CacheContentsIndex contents,
            CapacityEstimator capacity, OutlierDetector outliers, SlowStart slowStart,
            OriginLoadShedder originShedder) {
        this.context = context;
        this.endpoints = endpoints;
        this.contents = contents;
        this.capacity = capacity;
        this.outliers = outliers;
        this.slowStart = slowStart;
        this.originShedder = originShedder;
    }

    /** The node of the tree where a walk ended; {@code cache} is null where none is usable, not even at the root. */
    private record WalkEnd(int treeNode, Endpoint cache, boolean takesCopy) {}

    /** The route of the next attempt of a request; NONE_AVAILABLE or NONE_IN_TIME where there is none. */
    Route select(PendingRequest pending) {
        return pending.requestClass.passThrough() ? selectForWrite(pending) : selectForRead(pending);
    }

    private Route selectForRead(PendingRequest pending) {
        PartEntry entry = contents.entryFor(pending.request);
        WalkEnd end = walk(entry, pending);
        Endpoint home = cacheAt(0, pending);
        Endpoint found = end.cache == null ? home : end.cache;
        if (found == null) {
            return anyHealthyWarmCache(pending) ? Route.NONE_AVAILABLE : bypassCaches(pending);
        }
        Endpoint target = relieve(found, entry, pending);
        if (target == null) {
            return Route.NONE_IN_TIME;
        }
        boolean hitExpected = contents.isHeldBy(entry, target, pending.request);
        Endpoint source = end.takesCopy || target != found || hitExpected && target != home
                ? holderAbove(end.treeNode, target, entry, pending) : null;
        if (source == null) {
            source = parentOrOrigin(pending, !hitExpected);
        }
        return routeTo(target, source, hitExpected, pending);
    }

    /**
     * The walk from a random leaf to the first node whose cache holds the part or is due for a copy; a first attempt
     * counts as a pass at each node before.
     */
    private WalkEnd walk(PartEntry entry, PendingRequest pending) {
        Request request = pending.request;
        int treeSize = endpoints.caches().endpoints.size();
        double[] passes = entry.passes().countsAt(treeSize, context.nowUs);
        int firstLeaf = treeSize < 2 ? 0 : (treeSize - 2) / ARITY + 1;
        int treeNode = firstLeaf + context.random.nextInt(Math.max(1, treeSize - firstLeaf));
        while (treeNode > 0) {
            Endpoint cache = cacheAt(treeNode, pending);
            boolean holds = cache != null && contents.isHeldBy(entry, cache, request);
            boolean takesCopy = cache != null && !holds && passes[treeNode] >= PASSES_BEFORE_COPY;
            if (holds || takesCopy) {
                return new WalkEnd(treeNode, cache, takesCopy);
            }
            passes[treeNode] += pending.attemptsSent == 0 ? 1 : 0;
            treeNode = (treeNode - 1) / ARITY;
        }
        return new WalkEnd(treeNode, null, false);
    }

    private boolean anyHealthyWarmCache(PendingRequest pending) {
        return endpoints.caches().endpoints.stream().anyMatch(cache -> outliers.isHealthy(cache)
                && !slowStart.isWarmingUp(cache) && pending.request.memberFilter().test(cache.id));
    }

    /** A route to a cache. Where no fill would come in time, it may yet hold what other directors have asked it for. */
    private Route routeTo(Endpoint target, Endpoint source, boolean hitExpected, PendingRequest pending) {
        boolean outside = source != null && source.role != Role.CACHE;
        boolean spareOrigin = outside && originShedder.shouldShed();
        boolean noFill = source == null || spareOrigin && source == endpoints.origin()
                || outside && !hitExpected && !capacity.canFillInTime(pending);
        return new Route(target, noFill ? target : source, COPY_RANK, hitExpected, spareOrigin);
    }

    /** The cache of a tree node: the first one clockwise from its point that can take this request; or null. */
    private Endpoint cacheAt(int treeNode, PendingRequest pending) {
        long point = HashRing.mix(pending.request.object() + treeNode * POINT_STEP);
        return endpoints.caches().hashRing.firstClockwise(point, cache -> outliers.isUsable(cache, pending));
    }

    /** The source of a copy: the first node towards the root, on another cache, that holds the part; or null. */
    private Endpoint holderAbove(int fromNode, Endpoint target, PartEntry entry, PendingRequest pending) {
        boolean allowed = context.settings.siblings() != SiblingScope.NONE;
        for (int treeNode = fromNode; allowed && treeNode >= 0; treeNode = Math.floorDiv(treeNode - 1, ARITY)) {
            Endpoint cache = cacheAt(treeNode, pending);
            if (cache != null && cache != target && contents.isHeldBy(entry, cache, pending.request)) {
                return cache;
            }
        }
        return null;
    }

    /**
     * Consistent hashing with bounded loads (Mirrokni et al., 2018), against hot objects, uneven weights and slow or
     * cold caches: a cache whose answer would come late hands the request over within the object's tree, preferably to
     * a holder; one that reports an overload sheds a part of it, to a cache of half its utilization. Null where none
     * could answer in time: more work would make the rest late too. Could harm if a pace is misjudged.
     */
    private Endpoint relieve(Endpoint target, PartEntry entry, PendingRequest pending) {
        double utilization = capacity.utilization(target);
        boolean sheds = target.peerLoad.shouldShed(utilization, context.nowUs, context.random);
        if (!sheds && canTakeOver(target, pending)) {
            return target;
        }
        Endpoint firstOther = null;
        for (int treeNode = 0; treeNode < endpoints.caches().endpoints.size(); treeNode++) {
            Endpoint cache = cacheAt(treeNode, pending);
            if (cache != null && canTakeOver(cache, pending)
                    && !(sheds && RELIEF_FACTOR * capacity.utilization(cache) > utilization)) {
                if (contents.isHeldBy(entry, cache, pending.request)) {
                    return cache;
                }
                firstOther = firstOther == null ? cache : firstOther;
            }
        }
        return firstOther != null ? firstOther : capacity.canAnswerWithin(1, target, pending) ? target : null;
    }

    private boolean canTakeOver(Endpoint endpoint, PendingRequest pending) {
        return capacity.canAnswerWithin(CapacityEstimator.HANDOVER_SHARE, endpoint, pending);
    }

    /**
     * The parent hashed over all listed, or the next if that is not usable; the origin only when no parent is. With
     * {@code inTime}, where the first is too loaded, the next of half its utilization; null where there is none. Could
     * harm if fills only look slow.
     */
    private Endpoint parentOrOrigin(PendingRequest pending, boolean inTime) {
        HashRing<Endpoint> parents = endpoints.parents().hashRing;
        long point = HashRing.mix(pending.request.object());
        Endpoint parent = parents.firstClockwise(point, candidate -> outliers.isUsable(candidate, pending));
        if (parent == null) {
            return originIsUsable(pending) ? endpoints.origin() : null;
        }
        double utilization = capacity.utilization(parent);
        if (!inTime || capacity.canAnswerWithin(1, parent, pending)) {
            return parent;
        }
        return parents.firstClockwise(point, candidate -> outliers.isUsable(candidate, pending)
                && canTakeOver(candidate, pending) && RELIEF_FACTOR * capacity.utilization(candidate) < utilization);
    }

    private boolean originIsUsable(PendingRequest pending) {
        return endpoints.origin() != null && outliers.isUsable(endpoints.origin(), pending);
    }

    /** Past the caches, where none is healthy and warm and it is permitted: to a parent, else to the origin. */
    private Route bypassCaches(PendingRequest pending) {
        Endpoint parent = context.settings.capabilities().cacheBypass()
                ? parentOrOrigin(pending, !pending.requestClass.passThrough()) : null;
        if (parent == null) {
            return Route.NONE_AVAILABLE;
        }
        return new Route(parent, endpoints.origin() == null ? parent : endpoints.origin(), 0, false, false);
    }

    /** A request that runs at the origin goes straight there where permitted, else through a cache. */
    private Route selectForWrite(PendingRequest pending) {
        boolean originUsable = originIsUsable(pending);
        if (context.settings.capabilities().cacheBypass()) {
            return originUsable ? new Route(endpoints.origin(), null, 0, false, false) : bypassCaches(pending);
        }
        Endpoint cache = cacheAt(0, pending);
        Endpoint source = originUsable ? endpoints.origin() : parentOrOrigin(pending, false);
        return cache == null || source == null ? Route.NONE_AVAILABLE : new Route(cache, source, 0, false, false);
    }
}
