package clovermill.routing.api;

/** The effect of executing a request more than once. */
public enum Effect { IDEMPOTENT, DEDUPLICATED, AT_MOST_ONCE }
