package clovermill.routing.api;

/** Asks a member for its load. */
public record Probe(String member) implements Action {}
