package clovermill.routing.api;

/** The client of a request has left. */
public record ClientGone(String request) implements Event {}
