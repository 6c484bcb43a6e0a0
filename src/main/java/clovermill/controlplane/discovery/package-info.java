/**
 * Discovery: the list of endpoints and the purges that the command channel publishes.
 *
 * <p>{@link clovermill.controlplane.discovery.DiscoveryClient} long-polls the channel over HTTP/1.1, resumes after a
 * break from the last event that it applied, and passes typed events on
 * ({@link clovermill.controlplane.discovery.DiscoveryEvent}).
 * {@link clovermill.controlplane.discovery.EndpointRegistry} applies them to the routing module and to the pool of
 * connections, together with the outages that operators set. Stamps of the channel are Unix time of whoever wrote them;
 * {@link clovermill.controlplane.discovery.StartTimes} and
 * {@link clovermill.controlplane.discovery.PurgeAgeEstimator} turn them into times of this process's monotonic clock,
 * so that a step of a wall clock does no harm. Everything here runs on the event loop.
 */
package clovermill.controlplane.discovery;
