/**
 * A deterministic simulated scheduler for {@link clovermill.runtime.task.Task}s: one thread and one seed, from which
 * time, order of delivery, loss, cut links, crashes and stops are drawn. {@link
 * clovermill.simulation.emulator.world.World} is the entry; fleets of tasks run on it in {@code emulator.eventlog} and
 * {@code emulator.policystore}.
 */
package clovermill.simulation.emulator.world;
