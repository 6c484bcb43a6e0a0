package clovermill.routing.api;

/** The scope of an update of the member list. */
public enum ListScope { CHANGES, FULL, LAST_KNOWN, FAILED }
