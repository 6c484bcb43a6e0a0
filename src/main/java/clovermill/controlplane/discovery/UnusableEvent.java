package clovermill.controlplane.discovery;

/** An event, or one entry of a list, that cannot be used; the rest of the answer is applied. */
public record UnusableEvent(long cursor, String reason) implements DiscoveryEvent {}
