package clovermill.routing.api;

/** The response of a streamed request has started. */
public record ResponseStarted(String request, int attempt, String member, long elapsedUs) implements Event {}
