package clovermill.ledger.decide;

/** The source of the bytes of a response; the ordinal is the number in the log. */
public enum ContentSource {
    /** Nothing was served. */
    NONE,
    /** Served from a cache. */
    HIT,
    /** Served from a cache, past its freshness lifetime. */
    STALE,
    /** Filled from another cache of the location. */
    SIBLING,
    /** Filled from the copy of a parent, or passed through a parent. */
    PARENT,
    /** Filled from the origin, through a parent or not, or passed through from the origin. */
    ORIGIN,
    /** Joined a fill that another request had started; the bytes from the origin or parent are counted there. */
    JOINED
}
