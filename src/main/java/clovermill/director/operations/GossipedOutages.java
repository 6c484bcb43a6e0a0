package clovermill.director.operations;

import clovermill.controlplane.discovery.EndpointRegistry;
import clovermill.controlplane.outage.OutageMarks;
import clovermill.runtime.net.Clock;
import java.util.function.BiConsumer;

/**
 * Applies the outages of caches that operators set at peer directors: called with a cache's id and whether it is out.
 *
 * @param registry the endpoints of this process
 * @param marks those of this director, without replication to peers
 * @param clock gives the Unix stamp that tells a return from others
 */
public record GossipedOutages(EndpointRegistry registry, OutageMarks marks, Clock clock)
        implements BiConsumer<String, Boolean> {

    @Override
    public void accept(String id, Boolean out) {
        if (out && !registry.isOut(id)) {
            marks.takeOut(id);
            registry.takeOut(id);
        } else if (!out && registry.isOut(id)) {
            long stampMs = clock.unixMillis();
            marks.putBack(id, stampMs);
            registry.putBack(id, stampMs);
        }
    }
}
