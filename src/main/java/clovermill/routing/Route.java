package clovermill.routing;

/**
 * The route of an attempt: its target and the source of a fill on a miss.
 *
 * @param target the endpoint to which the attempt is sent; null only in the two constants below
 * @param source the endpoint from which a miss is filled; the target itself for no fill, null for a plain send
 * @param copyRank the rank at which the target caches the copy; 0 if it caches none
 * @param hitExpected whether the target probably has the part
 * @param onlyIfCached whether the source may use only its cached copy, to shed load from the origin
 */
record Route(Endpoint target, Endpoint source, int copyRank, boolean hitExpected, boolean onlyIfCached) {

    /** No endpoint is available: the request may be retried later. */
    static final Route NONE_AVAILABLE = new Route(null, null, 0, false, false);
    /** Every available endpoint is too loaded to answer in time: the request is rejected. */
    static final Route NONE_IN_TIME = new Route(null, null, 0, false, false);

    /** Returns whether there is an endpoint to send to. */
    boolean hasTarget() {
        return target != null;
    }

    /** Returns whether a fill from a parent or the origin is expected, which also loads the source and the link. */
    boolean fillExpected() {
        return source != null && !hitExpected && source.role != Endpoint.Role.CACHE;
    }

    /** Returns this route with a target that caches no copy. */
    Route withoutCopy() {
        return new Route(target, source, 0, hitExpected, onlyIfCached);
    }
}
