/**
 * Emulated fleets that follow the event log under faults, on the scheduler of {@code
 * clovermill.simulation.emulator.world}; the tasks, codecs and storages are those of service.
 */
package clovermill.simulation.emulator.eventlog;
