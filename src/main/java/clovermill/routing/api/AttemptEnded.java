package clovermill.routing.api;

/**
 * An attempt has ended.
 *
 * @param requestEnded whether the request ended with this attempt or earlier
 * @param load the load that the member reported, or null
 */
public record AttemptEnded(String request, int attempt, String member, Result result, long elapsedUs,
        boolean requestEnded,
        CacheStatus cacheStatus,
        long waitedUs, LoadReport load) implements Event {}
