/**
 * The core of the data plane: client requests, their attempts at members, and their answers, independent of protocols.
 *
 * <p>
 * {@link clovermill.dataplane.proxy.ProxyCore} gets a {@link clovermill.dataplane.proxy.ClientRequest} and a {@link
 * clovermill.dataplane.proxy.ResponseHandler}, creates a {@code RequestContext} and delivers events to the router,
 * whose actions {@code ActionExecutor} executes; an {@code Attempt} is sent by an {@link
 * clovermill.dataplane.proxy.Upstream}, which reports to an {@link clovermill.dataplane.proxy.AttemptListener}.
 * {@link clovermill.dataplane.proxy.UsageListener} and {@link clovermill.dataplane.proxy.EndpointFilter} are the
 * extension points for accounting, limits and placement.
 *
 * <p>
 * All classes run on the event loop's thread. Times are microseconds of the monotonic clock.
 */
package clovermill.dataplane.proxy;
