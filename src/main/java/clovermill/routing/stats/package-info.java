/**
 * Statistics for the routing decisions, in small structures that make no decisions themselves.
 *
 * <p>Start with {@link clovermill.routing.stats.CircuitBreaker} (failures of one endpoint), {@link
 * clovermill.routing.stats.TokenBucket} (the budget of an endpoint in slow start), {@link
 * clovermill.routing.stats.InFlightCount} (load), {@link clovermill.routing.stats.HashRing} (consistent hashing) and
 * {@link clovermill.routing.stats.PurgeLog}. The rest are averages and counts that decay with time, a queue by
 * deadline and a map with LRU eviction.
 *
 * <p>No I/O, clock, thread or randomness: the owner passes the time, always in microseconds (suffix {@code Us}) of a
 * monotonic clock. Nothing here is thread-safe. The decisions based on these statistics are made by the classes that
 * {@link clovermill.routing.RequestRouter} creates.
 */
package clovermill.routing.stats;
