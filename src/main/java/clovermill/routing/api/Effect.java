package clovermill.routing.api;

/** What a repeated request may do. */
public enum Effect { IDEMPOTENT, DEDUPLICATED, AT_MOST_ONCE }
