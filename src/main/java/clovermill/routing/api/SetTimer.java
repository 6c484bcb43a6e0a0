package clovermill.routing.api;

/** Asks for a {@link Timer} event. */
public record SetTimer(long delayUs, long token) implements Action {}
