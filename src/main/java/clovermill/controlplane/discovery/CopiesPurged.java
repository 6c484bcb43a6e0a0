package clovermill.controlplane.discovery;

/**
 * A purge: copies of an object, or of all objects of a group, from before it must not be served.
 *
 * @param object the object, null where the purge is of a group
 * @param group the group, 0 where the purge is of an object
 * @param stampUnixMs when the purge was made, by the writer's clock
 */
public record CopiesPurged(long cursor, Long object, int group, long stampUnixMs) implements DiscoveryEvent {}
