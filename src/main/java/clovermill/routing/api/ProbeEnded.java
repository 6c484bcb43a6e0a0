package clovermill.routing.api;

/** The result of a {@link Probe}; {@code load} may be null. */
public record ProbeEnded(String member, Result result, long elapsedUs, LoadReport load) implements Event {}
