package clovermill.controlplane.discovery;

import java.util.List;

/**
 * The list of endpoints, or the entries of it that have changed.
 *
 * @param full whether endpoints that are not listed are gone
 */
public record EndpointListChanged(long cursor, boolean full, List<ListedEndpoint> endpoints)
        implements DiscoveryEvent {}
