package clovermill.director.operations;

import clovermill.controlplane.discovery.EndpointRegistry;
import clovermill.controlplane.gossip.GossipService;
import clovermill.controlplane.outage.OutageMarks;
import clovermill.runtime.net.Clock;
import java.util.function.BiConsumer;

/** Applies the outages of caches that operators set at peer directors. */
public record GossipedOutages(EndpointRegistry roster, OutageMarks marks, Clock clock)
        implements BiConsumer<String, Boolean> {

    /** Outage marks for the other processes of this director that are also replicated to its peers. */
    public record ReplicatedMarks(OutageMarks marks, GossipService fleet) implements OutageMarks {
        @Override
        public void takeOut(String id) {
            marks.takeOut(id);
            fleet.putOutage(id, true);
        }

        @Override
        public void putBack(String id, long stampMs) {
            marks.putBack(id, stampMs);
            fleet.putOutage(id, false);
        }

        @Override
        public boolean tryPutBack(String id, long stampMs) {
            boolean recorded = marks.tryPutBack(id, stampMs);
            if (recorded) {
                fleet.putOutage(id, false);
            }
            return recorded;
        }

        @Override
        public boolean isRecorded(String id) {
            return marks.isRecorded(id);
        }
    }

    @Override
    public void accept(String id, Boolean out) {
        if (out && !roster.isOut(id)) {
            marks.takeOut(id);
            roster.takeOut(id);
        } else if (!out && roster.isOut(id)) {
            long stampMs = clock.unixMillis();
            marks.putBack(id, stampMs);
            roster.putBack(id, stampMs);
        }
    }
}
