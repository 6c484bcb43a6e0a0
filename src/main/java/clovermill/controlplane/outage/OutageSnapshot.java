package clovermill.controlplane.outage;

import java.util.Map;
import java.util.Set;

/**
 * The marks that all processes of a director have recorded.
 *
 * @param disabledIds the ids of the disabled caches
 * @param enableStampsUnixMs the stamp of the last enable call for each cache that was enabled, by id
 */
public record OutageSnapshot(Set<String> disabledIds, Map<String, Long> enableStampsUnixMs) {}
