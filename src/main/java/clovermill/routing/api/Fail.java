package clovermill.routing.api;

/** Final answer: failed, with no promise. */
public record Fail(String request) implements Action {}
