package clovermill.routing.api;

/** Where an answer came from, as far as the member reports it, or why a fill failed. */
public enum Note {
    NONE, HIT, FILLED, ORIGIN_ASKED, JOINED, STALE, SOURCE_REFUSED, SOURCE_UNREACHED, SOURCE_LACKS,
    NO_PLACE,
    ORIGIN_FAILED
}
