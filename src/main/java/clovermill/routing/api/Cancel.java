package clovermill.routing.api;

/** Calls one attempt off. */
public record Cancel(String request, int attempt) implements Action {}
