package clovermill.simulation.emulator.eventlog;

/**
 * The size of a fleet and the quality of its links.
 *
 * @param retentionBytes bytes of events that replicas retain
 * @param subjects number of distinct objects that events refer to
 * @param maxDelayUs the maximum latency of a datagram
 */
public record FleetSize(int directors, long retentionBytes, int subjects, double loss, long maxDelayUs) {}
