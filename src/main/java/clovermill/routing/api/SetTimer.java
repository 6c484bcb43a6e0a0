package clovermill.routing.api;

/** Starts a timer that reports a {@link TimerExpired} event. */
public record SetTimer(long delayUs, long token) implements Action {}
