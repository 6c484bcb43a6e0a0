package clovermill.routing.api;

/** A message from another director. */
public record PeerMessage(int from, byte[] payload) implements Event {}
