package clovermill.controlplane.discovery;

/**
 * A purge: older copies of an object, or of all objects of a group, must not be served.
 *
 * @param object the object, null for the purge of a group
 * @param group the group, 0 for the purge of an object
 * @param timestampUnixMs the time of the purge, by the publisher's clock
 */
public record CopiesPurged(long cursor, Long object, int group, long timestampUnixMs) implements DiscoveryEvent {}
