package clovermill.routing.api;

/** How the answering member obtained a response, as far as it reports that, or why its fill failed. */
public enum CacheStatus {
    NONE, HIT, FILLED, FILLED_FROM_ORIGIN, COLLAPSED, STALE, SOURCE_REJECTED, SOURCE_UNREACHABLE, SOURCE_MISS,
    FILL_LIMIT_REACHED,
    ORIGIN_FAILED
}
