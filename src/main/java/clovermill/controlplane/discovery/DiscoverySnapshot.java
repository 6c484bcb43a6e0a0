package clovermill.controlplane.discovery;

import clovermill.config.Json;
import java.util.List;

/**
 * All that a process knows from discovery, in a form that another process of the same director can adopt.
 *
 * @param cursor the number of the last event that it contains
 * @param confirmedAgoUs the time since discovery confirmed that this was all, in microseconds
 * @param endpoints all listed endpoints
 * @param purges the purges of the process's life
 */
public record DiscoverySnapshot(long cursor, long confirmedAgoUs, List<ListedEndpoint> endpoints,
        List<AgedPurge> purges) {

    /** Returns the snapshot as JSON; zones and kinds are written by the names that {@code settings} give them. */
    public String toJson(DiscoverySettings settings) {
        return new DiscoverySnapshotCodec(settings).write(this);
    }

    /**
     * Reads a snapshot.
     *
     * @throws Json.Malformed if any part of it cannot be used: a snapshot is adopted as a whole or not at all
     */
    public static DiscoverySnapshot fromJson(String json, DiscoverySettings settings) throws Json.Malformed {
        return new DiscoverySnapshotCodec(settings).read(json);
    }
}
