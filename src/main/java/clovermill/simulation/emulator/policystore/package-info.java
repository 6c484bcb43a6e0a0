/**
 * The policy store under faults, in emulated time on {@code clovermill.simulation.emulator.world}. {@link
 * clovermill.simulation.emulator.policystore.PolicyFleet} runs a fleet of real tasks with injected faults; {@code
 * InvariantChecker} judges which policies were obeyed. Used by tests and by {@code make prove-accord-sim}.
 */
package clovermill.simulation.emulator.policystore;
