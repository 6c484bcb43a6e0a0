/**
 * Routing decisions of one director: the endpoint of a request, its retries and hedges, and its rejection.
 *
 * <p>Start with {@link clovermill.routing.RequestRouter}, which creates the components and dispatches each event.
 * {@code RequestLifecycle} manages a request from its arrival to its one final response; {@code RouteSelector} selects
 * its route and {@code AttemptSender} sends it. For an alert, see {@code OutlierDetector} (an ejected endpoint),
 * {@code SlowStart} (a cold one), {@code CapacityEstimator} (an overloaded one), {@code CacheContentsIndex} (stale
 * responses), {@code OriginLoadShedder} (a slow origin) or {@code HedgingPolicy} (duplicated attempts).
 *
 * <p>No I/O, clock, thread or socket: each event is passed with its time, and actions are returned. Times are
 * microseconds (suffix {@code Us}) of the host's monotonic clock, work is microseconds of service time at full pace.
 */
package clovermill.routing;
