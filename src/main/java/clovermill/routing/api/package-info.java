/**
 * The interface between the routing decisions of one director and the host that executes them: {@link
 * clovermill.routing.api.CacheRouter} handles an {@link clovermill.routing.api.Event} and emits {@link
 * clovermill.routing.api.Action}s. It consists of records and enums without I/O, clock or threads. All times are
 * microseconds on a monotonic clock, sizes are kilobytes. The data plane ({@code clovermill.dataplane.proxy}), the
 * simulator's adapter ({@code clovermill.simulation.adapter}) and the emulator use the same implementation, {@code
 * clovermill.routing}.
 */
package clovermill.routing.api;
