package clovermill.simulation.emulator.eventlog;

/** A run of a fleet: events a second, a fault every so often, until shortly before the end, which is calm. */
public record Scenario(FleetSize size, int seconds, double eventsPerSecond, double faultEveryS) {}
