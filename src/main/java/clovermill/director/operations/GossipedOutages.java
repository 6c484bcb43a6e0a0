package clovermill.director.operations;

import clovermill.controlplane.discovery.EndpointRegistry;
import clovermill.controlplane.outage.OutageMarks;
import clovermill.runtime.net.Clock;
import java.util.function.BiConsumer;

/**
 * Applies the cache outages that operators set at peer directors: called with a cache's id, and true if it is disabled.
 *
 * @param registry the endpoints of this process
 * @param marks the outage marks of this director, without replication to peers
 * @param clock supplies the Unix time stamp that identifies the enabling of a cache
 */
public record GossipedOutages(EndpointRegistry registry, OutageMarks marks, Clock clock)
        implements BiConsumer<String, Boolean> {

    @Override
    public void accept(String id, Boolean disabled) {
        if (disabled && !registry.isDisabled(id)) {
            marks.disable(id);
            registry.disable(id);
        } else if (!disabled && registry.isDisabled(id)) {
            long stampMs = clock.unixMillis();
            marks.enable(id, stampMs);
            registry.enable(id, stampMs);
        }
    }
}
