/**
 * The interface between one director's decisions and the program that carries them out: {@link
 * clovermill.routing.api.CacheRouter} takes an {@link clovermill.routing.api.Event} and hands out {@link
 * clovermill.routing.api.Action}s. Records and enums only, without I/O, clock or threads. All times are
 * microseconds on a monotonic clock, sizes are kilobytes. The real data plane ({@code clovermill.dataplane.proxy}),
 * the simulator's adapter ({@code clovermill.simulation.adapter}) and the emulator drive the same implementation,
 * {@code clovermill.routing}.
 */
package clovermill.routing.api;
