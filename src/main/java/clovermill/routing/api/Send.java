package clovermill.routing.api;

/** Sends a request as it is: the member answers from what it holds. */
public record Send(String request, String member, long timeoutUs) implements Action {}
