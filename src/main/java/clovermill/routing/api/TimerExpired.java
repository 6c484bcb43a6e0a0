package clovermill.routing.api;

/** A timer that was set by {@link SetTimer} has expired. */
public record TimerExpired(long token) implements Event {}
