package clovermill.routing.api;

/** A timer set by {@link SetTimer} is due. */
public record Timer(long token) implements Event {}
