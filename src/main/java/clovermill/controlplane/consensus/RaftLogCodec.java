package clovermill.controlplane.consensus;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * A codec of the contents of a Raft log: entries, snapshot chunks and members. It is used in messages and in a
 * replica's file. Big-endian. A replica is the number of its node in 2 bytes and that of its disk in 8 bytes; a list is
 * preceded by a 2-byte count.
 */
final class RaftLogCodec {

    private static final int MAX_REPLICAS = 10_000;

    private final RaftModelFactory models = new DefaultRaftModelFactory();
    private final OperationCodec operations;

    RaftLogCodec(OperationCodec operations) {
        this.operations = operations;
    }

    void writeEntry(LogEntry entry, DataOutputStream out) throws IOException {
        out.writeLong(entry.getIndex());
        out.writeInt(entry.getTerm());
        writeOperation(entry.getOperation(), out);
    }

    LogEntry readEntry(DataInputStream in) throws IOException {
        return models.createLogEntryBuilder().setIndex(in.readLong()).setTerm(in.readInt())
                .setOperation(readOperation(in))
                .build();
    }

    void writeChunk(SnapshotChunk chunk, DataOutputStream out) throws IOException {
        out.writeLong(chunk.getIndex());
        out.writeInt(chunk.getTerm());
        writeOperation(chunk.getOperation(), out);
        out.writeInt(chunk.getSnapshotChunkIndex());
        out.writeInt(chunk.getSnapshotChunkCount());
        writeView(chunk.getGroupMembersView(), out);
    }

    SnapshotChunk readChunk(DataInputStream in) throws IOException {
        return models.createSnapshotChunkBuilder().setIndex(in.readLong()).setTerm(in.readInt())
                .setOperation(readOperation(in)).setSnapshotChunkIndex(in.readInt()).setSnapshotChunkCount(in.readInt())
                .setGroupMembersView(readView(in)).build();
    }

    void writeView(RaftGroupMembersView view, DataOutputStream out) throws IOException {
        out.writeLong(view.getLogIndex());
        writeReplicas(view.getMembers(), out);
        writeReplicas(view.getVotingMembers(), out);
    }

    RaftGroupMembersView readView(DataInputStream in) throws IOException {
        return models.createRaftGroupMembersViewBuilder().setLogIndex(in.readLong()).setMembers(readReplicas(in))
                .setVotingMembers(readReplicas(in)).build();
    }

    void writeReplica(RaftEndpoint endpoint, DataOutputStream out) throws IOException {
        ReplicaId replica = (ReplicaId) endpoint;
        out.writeShort(replica.node());
        out.writeLong(replica.disk());
    }

    ReplicaId readReplica(DataInputStream in) throws IOException {
        return new ReplicaId(in.readUnsignedShort(), in.readLong());
    }

    void writeReplicas(Collection<RaftEndpoint> replicas, DataOutputStream out) throws IOException {
        out.writeShort(replicas.size());
        for (RaftEndpoint replica : replicas) {
            writeReplica(replica, out);
        }
    }

    Collection<RaftEndpoint> readReplicas(DataInputStream in) throws IOException {
        List<RaftEndpoint> replicas = new ArrayList<>();
        for (int remaining = Math.min(MAX_REPLICAS, in.readUnsignedShort()); remaining > 0; remaining--) {
            replicas.add(readReplica(in));
        }
        return replicas;
    }

    private void writeOperation(Object operation, DataOutputStream out) throws IOException {
        if (operation instanceof UpdateRaftGroupMembersOp update) {
            out.writeByte(OperationCodec.MEMBERSHIP_KIND);
            writeReplicas(update.getMembers(), out);
            writeReplicas(update.getVotingMembers(), out);
            writeReplica(update.getEndpoint(), out);
            out.writeByte(update.getMode().ordinal());
        } else {
            operations.write(operation, out);
        }
    }

    private Object readOperation(DataInputStream in) throws IOException {
        int kind = in.readByte();
        if (kind != OperationCodec.MEMBERSHIP_KIND) {
            return operations.read(kind, in);
        }
        return models.createUpdateRaftGroupMembersOpBuilder().setMembers(readReplicas(in))
                .setVotingMembers(readReplicas(in))
                .setEndpoint(readReplica(in)).setMode(MembershipChangeMode.values()[in.readByte()]).build();
    }
}
