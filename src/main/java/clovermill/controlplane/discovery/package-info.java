/**
 * Discovery: the list of endpoints and the purges that the command channel publishes.
 *
 * <p>{@link clovermill.controlplane.discovery.DiscoveryClient} long-polls the channel over HTTP/1.1, resumes after a
 * lost connection from the last event that it applied, and delivers typed events
 * ({@link clovermill.controlplane.discovery.DiscoveryEvent}).
 * {@link clovermill.controlplane.discovery.EndpointRegistry} applies them to the routing module and the connection
 * pool, together with the outages that operators set. Timestamps of the channel are Unix time by the publisher's clock;
 * {@link clovermill.controlplane.discovery.StartTimes} and
 * {@link clovermill.controlplane.discovery.PurgeAgeEstimator} convert them to times of this process's monotonic clock,
 * so that steps of a wall clock have no effect. All code here runs on the event loop.
 */
package clovermill.controlplane.discovery;
