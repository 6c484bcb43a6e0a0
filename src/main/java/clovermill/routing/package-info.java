/**
 * Routing decisions of one director: which endpoint a request goes to, whether it is retried or hedged, and when it is
 * rejected.
 *
 * <p>Look first at {@link clovermill.routing.RequestRouter}, which wires the parts and gives each event to its own
 * method. {@code RequestLifecycle} leads a request from arrival to its one final answer; {@code RouteSelector} chooses
 * its route and {@code AttemptSender} sends it. For an alert: an endpoint out of service is
 * {@code OutlierDetector}, a cold one {@code SlowStart}, an overloaded one {@code CapacityEstimator}, stale answers
 * {@code CacheContentsIndex}, a slow origin {@code OriginLoadShedder}, duplicated attempts {@code HedgingPolicy}.
 *
 * <p>No I/O, clock, thread or socket: events come in with their time, actions go out. Times are microseconds (suffix
 * {@code Us}) of the host's monotonic clock, work is microseconds of service time at full pace.
 */
package clovermill.routing;
