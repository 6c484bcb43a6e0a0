package clovermill.routing.api;

/** Subscribes to updates of the member list, or unsubscribes. */
public record WatchMembers(boolean enabled) implements Action {}
