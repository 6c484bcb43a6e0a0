package clovermill.routing.api;

/** Final answer: refused, a further try is harmless. */
public record Refuse(String request, long retryAfterUs) implements Action {}
