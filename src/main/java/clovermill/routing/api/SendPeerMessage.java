package clovermill.routing.api;

/** Sends a message to the director {@code to}, or to all directors if it is -1. */
public record SendPeerMessage(int to, byte[] payload) implements Action {}
