package clovermill.routing.api;

/**
 * The actions that the host supports and its limits.
 *
 * @param cacheBypass whether requests may be sent to a parent or the origin without passing through a cache
 * @param fillJoining whether a request may share a fill that is already in progress
 * @param hedging whether a second attempt may be sent while the first one is in progress
 */
public record HostCapabilities(boolean cacheBypass, boolean fillJoining, boolean cancellation, boolean hedging,
        boolean probes,
        boolean peerMessages, int maxAttempts, int maxOpenRequests, long maxRetryAfterUs) {}
