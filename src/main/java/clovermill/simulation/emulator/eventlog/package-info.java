/**
 * Emulated fleets that follow the event log while faults are injected, on {@code
 * clovermill.simulation.emulator.world}; tasks and codecs are the production classes.
 */
package clovermill.simulation.emulator.eventlog;
