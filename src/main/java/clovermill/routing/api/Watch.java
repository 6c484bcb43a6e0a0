package clovermill.routing.api;

/** Subscribes to news of the members, or unsubscribes. */
public record Watch(boolean on) implements Action {}
