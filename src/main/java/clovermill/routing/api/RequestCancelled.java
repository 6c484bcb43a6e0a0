package clovermill.routing.api;

/** The client cancelled a request or disconnected. */
public record RequestCancelled(String request) implements Event {}
