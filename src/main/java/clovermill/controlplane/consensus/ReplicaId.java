package clovermill.controlplane.consensus;

import io.microraft.RaftEndpoint;

/**
 * A member of a Raft group: a process by its number, and which of its disks. A process that has lost its disk takes
 * another identity, as it does not know what it promised under the one before; the disks of a new group are 0.
 */
public record ReplicaId(int node, long disk) implements RaftEndpoint {

    @Override
    public Object getId() {
        return node + "/" + Long.toHexString(disk);
    }
}
