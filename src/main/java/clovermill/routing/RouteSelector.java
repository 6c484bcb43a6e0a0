package clovermill.routing;

import clovermill.routing.CacheContentsIndex.PartEntry;
import clovermill.routing.Endpoint.Role;
import clovermill.routing.api.Request;
import clovermill.routing.api.SiblingScope;
import clovermill.routing.stats.HashRing;

/**
 * Selects the route of a request by the random tree of its object, after section 7 of "CS 7800 Lecture Notes:
 * Consistent Hashing": the nodes of the tree lie on the location's caches by consistent hashing; a request enters at a
 * random leaf and goes to the first node towards the root that probably has the part; a node that many requests
 * have passed caches a copy. The cache at the root is the object's home.
 */
final class RouteSelector {

    /** Children of a tree node; d in the lecture notes. */
    private static final int ARITY = 2;
    /** Requests that pass a node before it caches a copy; q in the lecture notes. */
    private static final double PASSES_BEFORE_COPY = 8;
    /** Rank of every copy: the middle rank of homes; a lower one could not evict copies of the homes. */
    private static final int COPY_RANK = 2;
    /** Another endpoint relieves a loaded one only if its utilization is lower by this factor. */
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

    /** The tree node at which a walk ended; {@code cache} is null if none is usable, not even at the root. */
    private record WalkEnd(int treeNode, Endpoint cache, boolean takesCopy) {}

    /** Returns the route of the next attempt of a request, or NONE_AVAILABLE or NONE_IN_TIME. */
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
        boolean hitExpected = contents.isCachedAt(entry, target, pending.request);
        Endpoint source = end.takesCopy || target != found || hitExpected && target != home
                ? siblingWithCopy(end.treeNode, target, entry, pending) : null;
        if (source == null) {
            source = parentOrOrigin(pending, !hitExpected);
        }
        return routeTo(target, source, hitExpected, pending);
    }

    /**
     * Walks from a random leaf to the first node whose cache has the part or is due for a copy; a first attempt counts
     * as a pass at each node before.
     */
    private WalkEnd walk(PartEntry entry, PendingRequest pending) {
        Request request = pending.request;
        int treeSize = endpoints.caches().endpoints.size();
        int firstLeaf = treeSize < 2 ? 0 : (treeSize - 2) / ARITY + 1;
        int treeNode = firstLeaf + context.random.nextInt(Math.max(1, treeSize - firstLeaf));
        while (treeNode > 0) {
            Endpoint cache = cacheAt(treeNode, pending);
            boolean hasCopy = cache != null && contents.isCachedAt(entry, cache, request);
            boolean takesCopy =
                    cache != null && !hasCopy && contents.passes(entry, treeNode) >= PASSES_BEFORE_COPY;
            if (hasCopy || takesCopy) {
                return new WalkEnd(treeNode, cache, takesCopy);
            }
            if (pending.attemptsSent == 0) {
                contents.recordPass(entry, treeNode);
            }
            treeNode = (treeNode - 1) / ARITY;
        }
        return new WalkEnd(treeNode, null, false);
    }

    private boolean anyHealthyWarmCache(PendingRequest pending) {
        return endpoints.caches().endpoints.stream().anyMatch(cache -> outliers.isHealthy(cache)
                && !slowStart.isWarmingUp(cache) && pending.request.memberFilter().test(cache.id));
    }

    /** Returns a route to a cache; without a fill if none would be in time, as it may have other directors' copies. */
    private Route routeTo(Endpoint target, Endpoint source, boolean hitExpected, PendingRequest pending) {
        boolean fromUpstream = source != null && source.role != Role.CACHE;
        boolean shedOriginLoad = fromUpstream && originShedder.shouldShed();
        boolean noFill = source == null || shedOriginLoad && source == endpoints.origin()
                || fromUpstream && !hitExpected && !capacity.canFillInTime(pending);
        return new Route(target, noFill ? target : source, COPY_RANK, hitExpected, shedOriginLoad);
    }

    /** Returns the cache of a tree node: the first one clockwise from its point that is usable, or null. */
    private Endpoint cacheAt(int treeNode, PendingRequest pending) {
        long point = HashRing.mix(pending.request.object() + treeNode * POINT_STEP);
        return endpoints.caches().hashRing.firstClockwise(point, cache -> outliers.isUsable(cache, pending));
    }

    /** Returns the first other cache towards the root that has the part, as the source of a copy, or null. */
    private Endpoint siblingWithCopy(int fromNode, Endpoint target, PartEntry entry, PendingRequest pending) {
        boolean siblingsAllowed = context.settings.siblings() != SiblingScope.NONE;
        for (int treeNode = fromNode; siblingsAllowed && treeNode >= 0; treeNode = Math.floorDiv(treeNode - 1, ARITY)) {
            Endpoint cache = cacheAt(treeNode, pending);
            if (cache != null && cache != target && contents.isCachedAt(entry, cache, pending.request)) {
                return cache;
            }
        }
        return null;
    }

    /**
     * Consistent hashing with bounded loads (Mirrokni et al., 2018), for hot objects, uneven weights and slow or cold
     * caches: a cache whose response would be late hands the request over within the object's tree, preferably to one
     * that has the part; one that reports an overload sheds part of it to a cache with half its utilization. Returns
     * null if none could answer in time, as more load would delay the other requests too. Drawback: depends on a good
     * estimate of the pace.
     */
    private Endpoint relieve(Endpoint target, PartEntry entry, PendingRequest pending) {
        double utilization = capacity.utilization(target);
        boolean sheds = target.peerLoad.shouldShed(utilization, context.nowUs, context.random);
        if (!sheds && canServeInTime(target, pending)) {
            return target;
        }
        Endpoint firstOther = null;
        for (int treeNode = 0; treeNode < endpoints.caches().endpoints.size(); treeNode++) {
            Endpoint cache = cacheAt(treeNode, pending);
            if (cache != null && canServeInTime(cache, pending)
                    && !(sheds && RELIEF_FACTOR * capacity.utilization(cache) > utilization)) {
                if (contents.isCachedAt(entry, cache, pending.request)) {
                    return cache;
                }
                firstOther = firstOther == null ? cache : firstOther;
            }
        }
        return firstOther != null ? firstOther : capacity.canAnswerWithin(1, target, pending) ? target : null;
    }

    private boolean canServeInTime(Endpoint endpoint, PendingRequest pending) {
        return capacity.canAnswerWithin(CapacityEstimator.HANDOVER_SHARE, endpoint, pending);
    }

    /**
     * Returns the parent by consistent hashing over all listed ones, or the next one if it is not usable; the origin
     * only if no parent is usable. With {@code inTime}, if the first parent is too loaded, returns the next one with
     * half its utilization, or null. Drawback: fills that only look slow lose their parent.
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
                && canServeInTime(candidate, pending) && RELIEF_FACTOR * capacity.utilization(candidate) < utilization);
    }

    private boolean originIsUsable(PendingRequest pending) {
        return endpoints.origin() != null && outliers.isUsable(endpoints.origin(), pending);
    }

    /** Returns a route to a parent, else the origin, if permitted; used if no cache is healthy and warm. */
    private Route bypassCaches(PendingRequest pending) {
        Endpoint parent = context.settings.capabilities().cacheBypass()
                ? parentOrOrigin(pending, !pending.requestClass.passThrough()) : null;
        if (parent == null) {
            return Route.NONE_AVAILABLE;
        }
        return new Route(parent, endpoints.origin() == null ? parent : endpoints.origin(), 0, false, false);
    }

    /** Returns the route of a request that the origin executes: directly if permitted, else through a cache. */
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
