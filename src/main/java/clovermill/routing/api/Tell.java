package clovermill.routing.api;

/** Sends a message to one director, or to all with -1. */
public record Tell(int to, byte[] payload) implements Action {}
