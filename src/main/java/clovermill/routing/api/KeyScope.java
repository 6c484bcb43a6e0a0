package clovermill.routing.api;

/** The members among which a duplicate of a deduplicated request is detected. */
public enum KeyScope {
    ALL, ZONE, CELL
}
