package clovermill.routing.api;

/** Requests a load report from a member. */
public record Probe(String member) implements Action {}
