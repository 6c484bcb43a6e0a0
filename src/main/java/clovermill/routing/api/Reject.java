package clovermill.routing.api;

/** Rejects a request, which was not executed and may be retried. */
public record Reject(String request, long retryAfterUs) implements Action {}
