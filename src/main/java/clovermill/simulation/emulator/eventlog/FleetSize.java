package clovermill.simulation.emulator.eventlog;

/**
 * The size of a fleet and the quality of its links.
 *
 * @param retentionBytes bytes of events that replicas retain
 * @param subjects different objects that events are about
 * @param wayUs the maximum latency of a datagram, microseconds
 */
public record FleetSize(int directors, long retentionBytes, int subjects, double loss, long wayUs) {}
