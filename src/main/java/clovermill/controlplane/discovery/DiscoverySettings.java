package clovermill.controlplane.discovery;

import java.util.List;

/**
 * The settings of the discovery client.
 *
 * @param zones the names of the zones in the settings
 * @param kinds the names of the endpoint kinds in the settings
 * @param connectTimeoutUs the timeout of a connection attempt
 * @param effectWindowUs the shorter of the times within which drains and purges must take effect
 */
public record DiscoverySettings(List<String> zones, List<String> kinds, long connectTimeoutUs,
        long effectWindowUs) {}
