package clovermill.routing.api;

/** Cancels one attempt. */
public record Cancel(String request, int attempt) implements Action {}
