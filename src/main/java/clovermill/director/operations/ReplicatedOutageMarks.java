package clovermill.director.operations;

import clovermill.controlplane.gossip.GossipService;
import clovermill.controlplane.outage.OutageMarks;

/**
 * Outage marks that are shared with the other process of this director and also replicated to its peers.
 *
 * @param marks the marks of this director
 * @param gossip replicates each mark
 */
public record ReplicatedOutageMarks(OutageMarks marks, GossipService gossip) implements OutageMarks {

    @Override
    public void disable(String id) {
        marks.disable(id);
        gossip.replicateOutage(id, true);
    }

    @Override
    public void enable(String id, long stampMs) {
        marks.enable(id, stampMs);
        gossip.replicateOutage(id, false);
    }

    @Override
    public boolean tryEnable(String id, long stampMs) {
        boolean recorded = marks.tryEnable(id, stampMs);
        if (recorded) {
            gossip.replicateOutage(id, false);
        }
        return recorded;
    }

    @Override
    public boolean isRecorded(String id) {
        return marks.isRecorded(id);
    }
}
