package clovermill.routing.api;

/** The members among which a repeat of a deduplicated request is recognised. */
public enum KeyScope { ALL, ZONE, CELL }
