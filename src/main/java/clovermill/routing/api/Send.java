package clovermill.routing.api;

/** Sends a request that the member answers from its own copy or data. */
public record Send(String request, String member, long timeoutUs) implements Action {}
