package clovermill.routing;

/**
 * Where an attempt goes and where a miss is filled from.
 *
 * @param target the endpoint that gets the attempt; null only in the two constants below
 * @param source where the target fills a miss from: itself for no fill; null for a plain send without orders
 * @param copyRank the rank at which the target keeps the copy; 0 keeps none
 * @param hitExpected whether the target is believed to hold the part
 * @param heldOnly whether the source is to give only what it holds, to spare the origin
 */
record Route(Endpoint target, Endpoint source, int copyRank, boolean hitExpected, boolean onlyIfCached) {

    /** No endpoint is available: the request may wait and try again. */
    static final Route NONE_AVAILABLE = new Route(null, null, 0, false, false);
    /** Every available endpoint is so loaded that none could answer in time: the request is to be rejected. */
    static final Route NONE_IN_TIME = new Route(null, null, 0, false, false);

    /** Whether there is an endpoint to send to. */
    boolean hasTarget() {
        return target != null;
    }

    /** Whether a fill from a parent or the origin is expected, which loads the source and the link as well. */
    boolean fillExpected() {
        return source != null && !hitExpected && source.role != Endpoint.Role.CACHE;
    }

    /** The same route, but the target keeps no copy. */
    Route withoutCopy() {
        return new Route(target, source, 0, hitExpected, onlyIfCached);
    }
}
