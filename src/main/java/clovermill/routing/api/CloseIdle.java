package clovermill.routing.api;

/** Closes the idle connections to a member. */
public record CloseIdle(String member) implements Action {}
