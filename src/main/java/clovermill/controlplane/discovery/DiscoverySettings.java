package clovermill.controlplane.discovery;

import java.util.List;

/**
 * How the command channel is read.
 *
 * @param zones the settings' names of zones
 * @param kinds the settings' names of kinds of endpoints
 * @param connectTimeoutUs how long a connection attempt may take
 * @param bindWindowUs the shorter of the times within which drains and purges have to take effect
 */
public record DiscoverySettings(List<String> zones, List<String> kinds, long connectTimeoutUs,
        long bindWindowUs) {}
