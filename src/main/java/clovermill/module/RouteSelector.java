package clovermill.module;

import clovermill.CacheRouter.Request;
import clovermill.CacheRouter.Siblings;
import clovermill.memory.HashRing;
import clovermill.module.CacheContentsIndex.Copies;
import clovermill.module.Endpoint.Role;

/**
 * The path of a request through its object's random tree, after section 7 of "CS 7800 Lecture Notes: Consistent
 * Hashing": the nodes lie on the location's caches by consistent hashing; a request enters at a random leaf and goes to
 * the first node towards the root that is believed to hold the part; a node passed often takes a copy.
 */
record RouteSelector(RoutingContext state) {

    /** Children of a tree node: the design's d. */
    private static final int ARITY = 2;
    /** Requests that pass a node before it takes a copy: the design's q. */
    private static final double PASSES = 8;
    /** Rank of every copy: the home rule's middle one; a lower one could not push out what the homes keep. */
    private static final int RANK = 2;

    /** Where a request goes now: null where no member is left, LOADED where none could answer in time. */
    Route choose(PendingRequest pending) {
        return pending.kind.goesThrough() ? forWrite(pending) : forRead(pending);
    }

    /** The walk: from a random leaf to the first node that holds the part or is due for a copy. */
    private Route forRead(PendingRequest pending) {
        Request request = pending.request;
        int n = state.members.caches.members.size();
        Copies copies = state.beliefs.of(request);
        double[] passes = copies.passes().at(n, state.now);
        int firstLeaf = n < 2 ? 0 : (n - 2) / ARITY + 1;
        int node = firstLeaf + state.random.nextInt(Math.max(1, n - firstLeaf));
        Endpoint target = null;
        boolean promoted = false;
        while (node > 0 && target == null) {
            Endpoint cache = cacheAt(node, pending);
            boolean holder = cache != null && state.beliefs.holds(copies, cache, request);
            promoted = cache != null && !holder && passes[node] >= PASSES;
            target = holder || promoted ? cache : null;
            if (target == null) {
                passes[node] += pending.sent == 0 ? 1 : 0;
                node = (node - 1) / ARITY;
            }
        }
        Endpoint home = cacheAt(0, pending);
        target = target == null ? home : target;
        if (target == null) {
            return state.members.caches.members.stream().anyMatch(c -> state.health.fit(c) && !state.cold.cold(c)
                    && pending.request.allowed().test(c.id)) ? null : straight(pending);
        }
        Endpoint roomy = withRoom(target, copies, pending);
        if (roomy == null) {
            return Route.LOADED;
        }
        boolean believed = state.beliefs.holds(copies, roomy, request);
        Endpoint source = promoted || roomy != target || believed && roomy != home
                ? holderAbove(node, roomy, copies, pending) : null;
        source = source == null ? parentFor(pending, !believed) : source;
        boolean outside = source != null && source.role != Role.CACHE;
        boolean spared = outside && state.sparing.spare();
        // Where no fill would come in time, a cache may yet hold what fellows have asked it for.
        boolean none = source == null || spared && source == state.members.origin
                || outside && !believed && !state.room.at(state.room.link, pending, 1);
        return new Route(roomy, none ? roomy : source, RANK, believed, spared);
    }

    /** The cache of a tree node: the first one clockwise from its point that can take this request. */
    private Endpoint cacheAt(int treeNode, PendingRequest pending) {
        long point = HashRing.mix(pending.request.object() + treeNode * 0x9E3779B97F4A7C15L);
        return state.members.caches.points.firstFrom(point, node -> state.health.usable(node, pending));
    }

    /** The source of a promoted copy: the first node above, on another cache, that is believed to hold it. */
    private Endpoint holderAbove(int from, Endpoint target, Copies copies, PendingRequest pending) {
        boolean allowed = state.settings.siblings() != Siblings.NONE;
        for (int node = from; allowed && node >= 0; node = Math.floorDiv(node - 1, ARITY)) {
            Endpoint cache = cacheAt(node, pending);
            if (cache != null && cache != target && state.beliefs.holds(copies, cache, pending.request)) {
                return cache;
            }
        }
        return null;
    }

    /**
     * Consistent hashing with bounded loads, against hot objects, uneven weights and slow or cold caches: one whose
     * answer would come late hands over within the object's tree, best to a holder; one that reports an overload sheds
     * a part of it, to half its strain. Null where none could answer in time: more work would only make the rest late
     * too. Could harm if a pace is misread.
     */
    private Endpoint withRoom(Endpoint target, Copies copies, PendingRequest pending) {
        double full = state.room.strain(target);
        boolean sheds = target.shared.sheds(full, state.now, state.random);
        if (!sheds && state.room.at(target, pending, RoutingContext.HAND_OVER)) {
            return target;
        }
        Endpoint other = null;
        for (int treeNode = 0; treeNode < state.members.caches.members.size(); treeNode++) {
            Endpoint cache = cacheAt(treeNode, pending);
            if (cache != null && state.room.at(cache, pending, RoutingContext.HAND_OVER)
                    && !(sheds && 2 * state.room.strain(cache) > full)) {
                if (state.beliefs.holds(copies, cache, pending.request)) {
                    return cache;
                }
                other = other == null ? cache : other;
            }
        }
        return other != null ? other : state.room.at(target, pending, 1) ? target : null;
    }

    /**
     * The parent hashed over all listed; the next if unfit; the origin only when none is up. In time: where the first
     * is loaded, the next that is much less so, or null. Could harm if fills only look slow.
     */
    private Endpoint parentFor(PendingRequest pending, boolean inTime) {
        EndpointRing parents = state.members.parents;
        Endpoint origin = state.members.origin;
        long point = HashRing.mix(pending.request.object());
        Endpoint parent = parents.points.firstFrom(point, node -> state.health.usable(node, pending));
        if (parent == null) {
            return origin != null && state.health.usable(origin, pending) ? origin : null;
        }
        double full = state.room.strain(parent);
        return !inTime || state.room.at(parent, pending, 1) ? parent
                : parents.points.firstFrom(point, node -> state.health.usable(node, pending)
                        && state.room.at(node, pending, RoutingContext.HAND_OVER)
                        && 2 * state.room.strain(node) < full);
    }

    /** Past the caches, where none is fit and warm and it is allowed: to the parent, else to the origin. */
    private Route straight(PendingRequest pending) {
        Endpoint parent = state.settings.allowed().straight() ? parentFor(pending, !pending.kind.goesThrough()) : null;
        return parent == null ? null
                : new Route(parent, state.members.origin == null ? parent : state.members.origin, 0, false, false);
    }

    /** Requests that run at the origin go there straight where allowed, else with it as source. */
    private Route forWrite(PendingRequest pending) {
        Endpoint origin = state.members.origin;
        boolean up = origin != null && state.health.usable(origin, pending);
        if (state.settings.allowed().straight()) {
            return up ? new Route(origin, null, 0, false, false) : straight(pending);
        }
        Endpoint cache = cacheAt(0, pending);
        Endpoint source = up ? origin : parentFor(pending, false);
        return cache == null || source == null ? null : new Route(cache, source, 0, false, false);
    }
}
