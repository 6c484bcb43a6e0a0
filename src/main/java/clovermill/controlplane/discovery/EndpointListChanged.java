package clovermill.controlplane.discovery;

import java.util.ArrayList;
import java.util.List;

/**
 * A new list of endpoints, or its changed entries.
 *
 * @param full true if endpoints that are not listed are gone
 */
public record EndpointListChanged(long cursor, boolean full, List<ListedEndpoint> endpoints)
        implements DiscoveryEvent {

    /** Returns the events in order, with each run of changed entries merged into one event. */
    static List<DiscoveryEvent> mergeChanges(List<DiscoveryEvent> events) {
        List<DiscoveryEvent> merged = new ArrayList<>();
        List<ListedEndpoint> changed = new ArrayList<>();
        for (int i = 0; i < events.size(); i++) {
            if (!isChange(events, i)) {
                merged.add(events.get(i));
                continue;
            }
            changed.addAll(((EndpointListChanged) events.get(i)).endpoints);
            if (!isChange(events, i + 1)) {
                merged.add(new EndpointListChanged(events.get(i).cursor(), false, List.copyOf(changed)));
                changed.clear();
            }
        }
        return merged;
    }

    private static boolean isChange(List<DiscoveryEvent> events, int index) {
        return index < events.size() && events.get(index) instanceof EndpointListChanged list && !list.full;
    }
}
