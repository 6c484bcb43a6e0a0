/**
 * Fleets that agree on a policy while everything fails, on the scheduler of {@code
 * clovermill.simulation.emulator.world}.
 */
package clovermill.simulation.emulator.policystore;
