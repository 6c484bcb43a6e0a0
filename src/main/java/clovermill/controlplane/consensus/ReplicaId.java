package clovermill.controlplane.consensus;

import io.microraft.RaftEndpoint;

/**
 * The identity of a Raft replica. A process that has lost its disk takes a new identity, because its former votes are
 * unknown.
 *
 * @param node the number of the process
 * @param disk the random number of its disk; 0 for the disks of a new group
 */
public record ReplicaId(int node, long disk) implements RaftEndpoint {

    @Override
    public Object getId() {
        return node + "/" + Long.toHexString(disk);
    }
}
