/**
 * A deterministic, single-threaded simulation of machines that run {@link clovermill.runtime.task.Task}s. One seed
 * determines time, delivery order, message loss, cut links, crashes and pauses. {@link
 * clovermill.simulation.emulator.world.World} is the entry point; {@code emulator.eventlog} and {@code
 * emulator.policystore} run fleets of tasks on it.
 */
package clovermill.simulation.emulator.world;
