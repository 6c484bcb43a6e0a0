/** Fleets that agree on a policy while everything fails, on the scheduler of {@code clovermill.emulator.world}. */
package clovermill.emulator.accord;
