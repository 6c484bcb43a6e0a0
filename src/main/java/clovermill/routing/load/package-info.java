/**
 * Load estimation: how directors that exchange nothing keep the load of shared endpoints even.
 *
 * <p>Look first at {@link clovermill.routing.load.PeerLoadEstimator} (what the other directors have in flight, and
 * which part of an overload this one moves elsewhere) and at {@link clovermill.routing.load.ConcurrencyEstimator} (how
 * much an endpoint can hold). Both are pure decision classes: no I/O, clock or thread, times in microseconds passed in,
 * randomness passed in. The routing decisions ask them through {@code CapacityEstimator} and choose among homes and
 * copies. {@link clovermill.simulation.emulator} shows the outcome in a fleet of any size; the reasons are in
 * {@code docs/design/load-sharing.md}.
 */
package clovermill.routing.load;
