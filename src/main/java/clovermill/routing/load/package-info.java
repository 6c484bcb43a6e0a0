/**
 * Load estimation, by which directors that exchange no messages balance the load of shared endpoints.
 *
 * <p>Start with {@link clovermill.routing.load.PeerLoadEstimator} (the transfers of the other directors, and the part
 * of an overload that this director moves elsewhere) and {@link clovermill.routing.load.ConcurrencyEstimator} (the
 * capacity of an endpoint). Both are without I/O, clock or thread; times in microseconds and random numbers are passed
 * in. The routing decisions use them through {@code CapacityEstimator} and select among homes and copies. {@link
 * clovermill.simulation.emulator} shows the result in a fleet of any size; the reasons are in {@code
 * docs/design/load-sharing.md}.
 */
package clovermill.routing.load;
