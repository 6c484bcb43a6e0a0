package clovermill.controlplane.discovery;

/** An event of the command channel. */
public sealed interface DiscoveryEvent permits EndpointListChanged, CopiesPurged, UnusableEvent {

    /** Returns the number of the event, after which a poll can resume. */
    long cursor();
}
