package clovermill.controlplane.discovery;

/** An event, or one entry of a list, that cannot be used; everything else that came with it can. */
public record UnusableEvent(long cursor, String reason) implements DiscoveryEvent {}
