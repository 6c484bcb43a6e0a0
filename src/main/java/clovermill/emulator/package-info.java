/**
 * An emulator of a fleet: any number of directors, each with the real module of its own, before emulated caches whose
 * load reports come late, seldom, noisy or not at all, with faults at stated times. One seed gives one run, to the last
 * digit. {@link clovermill.emulator.Plan} says what is played, {@link clovermill.emulator.Emulation} plays it and
 * {@link clovermill.emulator.FleetMetrics} holds what was seen. It is no
 * copy of any deployment: it shows what directors
 * do together, and whether a change makes that better or worse, at sizes that sockets do not reach.
 */
package clovermill.emulator;
