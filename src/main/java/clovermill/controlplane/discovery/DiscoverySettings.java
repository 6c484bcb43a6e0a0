package clovermill.controlplane.discovery;

import java.util.List;

/**
 * How the command channel is read.
 *
 * @param zones the settings' names of zones
 * @param kinds the settings' names of kinds of endpoints
 * @param connectTimeoutMicros how long a connection attempt may take
 * @param bindWindowMicros the shorter of the times within which drains and purges have to take effect
 */
public record DiscoverySettings(List<String> zones, List<String> kinds, long connectTimeoutMicros,
        long bindWindowMicros) {}
