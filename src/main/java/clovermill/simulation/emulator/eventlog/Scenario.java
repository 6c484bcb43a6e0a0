package clovermill.simulation.emulator.eventlog;

/**
 * The parameters of a run. The last seconds are without faults.
 *
 * @param faultIntervalSeconds the mean interval between faults; 0 for none
 */
public record Scenario(FleetSize size, int seconds, double eventsPerSecond, double faultIntervalSeconds) {}
