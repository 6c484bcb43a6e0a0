/**
 * An emulator of a fleet: any number of directors, each with the real module of its own, before emulated caches whose
 * load reports come late, seldom, noisy or not at all, with faults at stated times. One seed gives one run, to the
 * last digit. {@link clovermill.simulation.emulator.Plan} says what is played, {@link
 * clovermill.simulation.emulator.Emulation} plays it and {@link clovermill.simulation.emulator.FleetMetrics} holds
 * what was seen. It is no copy of any deployment: it shows what directors do together, and whether a change makes
 * that better or worse, at sizes that sockets do not reach.
 */
package clovermill.simulation.emulator;
