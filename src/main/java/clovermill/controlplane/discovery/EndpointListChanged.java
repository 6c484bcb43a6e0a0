package clovermill.controlplane.discovery;

import java.util.List;

/**
 * A new list of endpoints, or its changed entries.
 *
 * @param full true if endpoints that are not listed are gone
 */
public record EndpointListChanged(long cursor, boolean full, List<ListedEndpoint> endpoints)
        implements DiscoveryEvent {}
