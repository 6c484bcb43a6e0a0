package clovermill.routing.api;

/** Subscribes to updates of the member list, or unsubscribes. */
public record Watch(boolean on) implements Action {}
