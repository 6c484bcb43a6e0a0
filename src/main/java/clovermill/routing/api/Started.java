package clovermill.routing.api;

/** The answer of a streamed request has begun. */
public record Started(String request, int attempt, String member, long elapsedUs) implements Event {}
