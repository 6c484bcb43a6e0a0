/**
 * A scheduler of one thread and one seed, on which tasks run as in service: time, the order of what arrives, loss,
 * cuts, crashes, stops and lost disks are drawn from it.
 */
package clovermill.simulation.emulator.world;
