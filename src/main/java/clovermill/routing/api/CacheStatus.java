package clovermill.routing.api;

/** The source of a response, as reported by the member that answered, or the reason why its fill failed. */
public enum CacheStatus {
    NONE, HIT, FILLED, FILLED_FROM_ORIGIN, COLLAPSED, STALE, SOURCE_REJECTED, SOURCE_UNREACHABLE, SOURCE_MISS,
    FILL_LIMIT_REACHED,
    ORIGIN_FAILED
}
