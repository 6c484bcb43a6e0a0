package clovermill.routing.api;

/**
 * An attempt has ended; {@code over} if the request has ended with it or before. {@code load} may be
 * null.
 */
public record Outcome(String request, int attempt, String member, Result result, long elapsedUs, boolean over,
        Note note,
        long waitedUs, LoadReport load) implements Event {}
