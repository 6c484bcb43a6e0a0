/**
 * A simulation of the policy store with injected faults, in emulated time on {@code
 * clovermill.simulation.emulator.world}. {@link clovermill.simulation.emulator.policystore.PolicyFleet} runs a fleet of
 * production tasks; {@code InvariantChecker} checks which policies were applied. Used by tests and by {@code make
 * prove-accord-sim}.
 */
package clovermill.simulation.emulator.policystore;
