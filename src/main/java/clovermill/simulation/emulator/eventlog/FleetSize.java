package clovermill.simulation.emulator.eventlog;

/**
 * A fleet.
 *
 * @param retentionBytes bytes of events that replicas retain
 * @param subjects different objects that events are about
 * @param wayUs the longest way of a datagram
 */
public record FleetSize(int directors, long retentionBytes, int subjects, double loss, long wayUs) {}
