package clovermill.controlplane.outage;

import java.util.Map;
import java.util.Set;

/**
 * The outages that all processes of a director have recorded.
 *
 * @param out the ids of the caches that are out
 * @param back the stamp of the last return of each cache that came back, in Unix milliseconds
 */
public record OutageSnapshot(Set<String> out, Map<String, Long> back) {}
