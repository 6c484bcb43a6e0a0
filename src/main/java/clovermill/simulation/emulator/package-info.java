/**
 * An emulator of a fleet: any number of directors, each with its own instance of the production router, in front of
 * emulated caches whose load reports are delayed, infrequent, noisy or missing, with faults at scheduled times. The
 * seed determines the run exactly. {@link clovermill.simulation.emulator.Plan} describes a run, {@link
 * clovermill.simulation.emulator.Emulation} simulates it and {@link clovermill.simulation.emulator.FleetMetrics} holds
 * the measurements. It does not model any particular deployment: it shows the combined behaviour of many directors,
 * and whether a change improves it, at sizes that cannot be reached with real sockets.
 */
package clovermill.simulation.emulator;
