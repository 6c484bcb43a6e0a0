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
    public void takeOut(String id) {
        marks.takeOut(id);
        gossip.putOutage(id, true);
    }

    @Override
    public void putBack(String id, long stampMs) {
        marks.putBack(id, stampMs);
        gossip.putOutage(id, false);
    }

    @Override
    public boolean tryPutBack(String id, long stampMs) {
        boolean recorded = marks.tryPutBack(id, stampMs);
        if (recorded) {
            gossip.putOutage(id, false);
        }
        return recorded;
    }

    @Override
    public boolean isRecorded(String id) {
        return marks.isRecorded(id);
    }
}
