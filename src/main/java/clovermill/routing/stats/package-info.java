/**
 * Statistics that the routing decisions keep, in small structures that decide nothing themselves.
 *
 * <p>Look first at {@link clovermill.routing.stats.CircuitBreaker} (one endpoint's failures), {@link
 * clovermill.routing.stats.TokenBucket} (the budget of an endpoint in slow start), {@link
 * clovermill.routing.stats.InFlightCount} (load), {@link clovermill.routing.stats.HashRing} (consistent hashing) and
 * {@link clovermill.routing.stats.PurgeLog}. The rest are averages and counts that decay with time, a queue by
 * deadline and a map with LRU eviction.
 *
 * <p>No I/O, clock, thread or randomness: the owner passes the time, always in microseconds (suffix {@code Us}) of a
 * monotonic clock. Nothing here is thread-safe. What is decided by these figures stands in {@link
 * clovermill.routing.RequestRouter} and the classes that it wires.
 */
package clovermill.routing.stats;
