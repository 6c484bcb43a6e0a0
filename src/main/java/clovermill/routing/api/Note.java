package clovermill.routing.api;

/** What an answer tells of where it came from, or why a fill failed. */
public enum Note {
    NONE, HIT, FILLED, ORIGIN_ASKED, JOINED, STALE, SOURCE_REFUSED, SOURCE_UNREACHED, SOURCE_LACKS,
    NO_PLACE,
    ORIGIN_FAILED
}
