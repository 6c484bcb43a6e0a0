package clovermill.routing.api;

/** What the host allows. */
public record Permissions(boolean straight, boolean joins, boolean cancelling, boolean secondCopies,
        boolean probes,
        boolean peerMessages, int maxAttempts, int maxOpen, long maxRetryAfterUs) {}
