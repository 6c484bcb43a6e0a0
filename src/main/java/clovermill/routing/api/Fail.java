package clovermill.routing.api;

/** Ends a request with a failure; it may have been executed. */
public record Fail(String request) implements Action {}
