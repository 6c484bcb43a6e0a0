package clovermill.controlplane.discovery;

/** One event of the command channel. */
public sealed interface DiscoveryEvent permits EndpointListChanged, CopiesPurged, UnusableEvent {

    /** The number of the event; a poll resumes after it. */
    long cursor();
}
