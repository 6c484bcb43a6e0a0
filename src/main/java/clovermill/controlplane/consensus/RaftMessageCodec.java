package clovermill.controlplane.consensus;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** MicroRaft's messages, and what its log holds, as bytes; for datagrams and for a replica's file alike. */
public final class RaftMessageCodec {

    private static final int MOST = 10_000;

    private final RaftModelFactory models = new DefaultRaftModelFactory();
    private final Object group;
    private final OperationCodec operations;

    /** For one group, whose log holds the operations of a subsystem. */
    public RaftMessageCodec(Object group, OperationCodec operations) {
        this.group = group;
        this.operations = operations;
    }

    /** Writes a message. */
    public void write(RaftMessage message, DataOutputStream out) throws IOException {
        out.writeByte(kind(message));
        replica(message.getSender(), out);
        out.writeInt(message.getTerm());
        if (message instanceof PreVoteRequest m) {
            out.writeInt(m.getLastLogTerm());
            out.writeLong(m.getLastLogIndex());
        } else if (message instanceof PreVoteResponse m) {
            out.writeBoolean(m.isGranted());
        } else if (message instanceof VoteRequest m) {
            out.writeInt(m.getLastLogTerm());
            out.writeLong(m.getLastLogIndex());
            out.writeBoolean(m.isSticky());
        } else if (message instanceof VoteResponse m) {
            out.writeBoolean(m.isGranted());
        } else if (message instanceof AppendEntriesRequest m) {
            out.writeInt(m.getPreviousLogTerm());
            out.writeLong(m.getPreviousLogIndex());
            out.writeLong(m.getCommitIndex());
            out.writeLong(m.getQuerySequenceNumber());
            out.writeLong(m.getFlowControlSequenceNumber());
            out.writeShort(m.getLogEntries().size());
            for (LogEntry entry : m.getLogEntries()) {
                entry(entry, out);
            }
        } else if (message instanceof AppendEntriesSuccessResponse m) {
            out.writeLong(m.getLastLogIndex());
            out.writeLong(m.getQuerySequenceNumber());
            out.writeLong(m.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse m) {
            out.writeLong(m.getExpectedNextIndex());
            out.writeLong(m.getQuerySequenceNumber());
            out.writeLong(m.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotRequest m) {
            out.writeBoolean(m.isSenderLeader());
            out.writeInt(m.getSnapshotTerm());
            out.writeLong(m.getSnapshotIndex());
            out.writeInt(m.getTotalSnapshotChunkCount());
            out.writeBoolean(m.getSnapshotChunk() != null);
            if (m.getSnapshotChunk() != null) {
                chunk(m.getSnapshotChunk(), out);
            }
            replicas(m.getSnapshottedMembers(), out);
            view(m.getGroupMembersView(), out);
            out.writeLong(m.getQuerySequenceNumber());
            out.writeLong(m.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotResponse m) {
            out.writeLong(m.getSnapshotIndex());
            out.writeInt(m.getRequestedSnapshotChunkIndex());
            out.writeLong(m.getQuerySequenceNumber());
            out.writeLong(m.getFlowControlSequenceNumber());
        } else if (message instanceof TriggerLeaderElectionRequest m) {
            out.writeInt(m.getLastLogTerm());
            out.writeLong(m.getLastLogIndex());
        }
    }

    private static int kind(RaftMessage m) {
        return m instanceof PreVoteRequest ? 1 : m instanceof PreVoteResponse ? 2 : m instanceof VoteRequest ? 3
                : m instanceof VoteResponse ? 4 : m instanceof AppendEntriesRequest ? 5
                : m instanceof AppendEntriesSuccessResponse ? 6 : m instanceof AppendEntriesFailureResponse ? 7
                : m instanceof InstallSnapshotRequest ? 8 : m instanceof InstallSnapshotResponse ? 9 : 10;
    }

    /**
     * Reads a message.
     *
     * @throws IOException if it is not whole or of no known kind
     */
    public RaftMessage read(DataInputStream in) throws IOException {
        int kind = in.readByte();
        ReplicaId sender = replica(in);
        int term = in.readInt();
        return switch (kind) {
            case 1 -> models.createPreVoteRequestBuilder().setGroupId(group).setSender(sender).setTerm(term)
                    .setLastLogTerm(in.readInt()).setLastLogIndex(in.readLong()).build();
            case 2 -> models.createPreVoteResponseBuilder().setGroupId(group).setSender(sender).setTerm(term)
                    .setGranted(in.readBoolean()).build();
            case 3 -> models.createVoteRequestBuilder().setGroupId(group).setSender(sender).setTerm(term)
                    .setLastLogTerm(in.readInt()).setLastLogIndex(in.readLong()).setSticky(in.readBoolean()).build();
            case 4 -> models.createVoteResponseBuilder().setGroupId(group).setSender(sender).setTerm(term)
                    .setGranted(in.readBoolean()).build();
            case 5 -> append(sender, term, in);
            case 6 -> models.createAppendEntriesSuccessResponseBuilder().setGroupId(group).setSender(sender)
                    .setTerm(term).setLastLogIndex(in.readLong()).setQuerySequenceNumber(in.readLong())
                    .setFlowControlSequenceNumber(in.readLong()).build();
            case 7 -> models.createAppendEntriesFailureResponseBuilder().setGroupId(group).setSender(sender)
                    .setTerm(term).setExpectedNextIndex(in.readLong()).setQuerySequenceNumber(in.readLong())
                    .setFlowControlSequenceNumber(in.readLong()).build();
            case 8 -> models.createInstallSnapshotRequestBuilder().setGroupId(group).setSender(sender).setTerm(term)
                    .setSenderLeader(in.readBoolean()).setSnapshotTerm(in.readInt()).setSnapshotIndex(in.readLong())
                    .setTotalSnapshotChunkCount(in.readInt()).setSnapshotChunk(in.readBoolean() ? chunk(in) : null)
                    .setSnapshottedMembers(replicas(in)).setGroupMembersView(view(in))
                    .setQuerySequenceNumber(in.readLong()).setFlowControlSequenceNumber(in.readLong()).build();
            case 9 -> models.createInstallSnapshotResponseBuilder().setGroupId(group).setSender(sender).setTerm(term)
                    .setSnapshotIndex(in.readLong()).setRequestedSnapshotChunkIndex(in.readInt())
                    .setQuerySequenceNumber(in.readLong()).setFlowControlSequenceNumber(in.readLong()).build();
            case 10 -> models.createTriggerLeaderElectionRequestBuilder().setGroupId(group).setSender(sender)
                    .setTerm(term).setLastLogTerm(in.readInt()).setLastLogIndex(in.readLong()).build();
            default -> throw new IOException("an unknown message");
        };
    }

    private RaftMessage append(ReplicaId sender, int term, DataInputStream in) throws IOException {
        var append = models.createAppendEntriesRequestBuilder().setGroupId(group).setSender(sender).setTerm(term)
                .setPreviousLogTerm(in.readInt()).setPreviousLogIndex(in.readLong()).setCommitIndex(in.readLong())
                .setQuerySequenceNumber(in.readLong()).setFlowControlSequenceNumber(in.readLong());
        List<LogEntry> entries = new ArrayList<>();
        for (int left = in.readUnsignedShort(); left > 0; left--) {
            entries.add(entry(in));
        }
        return append.setLogEntries(entries).build();
    }

    void entry(LogEntry entry, DataOutputStream out) throws IOException {
        out.writeLong(entry.getIndex());
        out.writeInt(entry.getTerm());
        operation(entry.getOperation(), out);
    }

    LogEntry entry(DataInputStream in) throws IOException {
        return models.createLogEntryBuilder().setIndex(in.readLong()).setTerm(in.readInt()).setOperation(operation(in))
                .build();
    }

    void chunk(SnapshotChunk chunk, DataOutputStream out) throws IOException {
        out.writeLong(chunk.getIndex());
        out.writeInt(chunk.getTerm());
        operation(chunk.getOperation(), out);
        out.writeInt(chunk.getSnapshotChunkIndex());
        out.writeInt(chunk.getSnapshotChunkCount());
        view(chunk.getGroupMembersView(), out);
    }

    SnapshotChunk chunk(DataInputStream in) throws IOException {
        return models.createSnapshotChunkBuilder().setIndex(in.readLong()).setTerm(in.readInt())
                .setOperation(operation(in)).setSnapshotChunkIndex(in.readInt()).setSnapshotChunkCount(in.readInt())
                .setGroupMembersView(view(in)).build();
    }

    void view(RaftGroupMembersView view, DataOutputStream out) throws IOException {
        out.writeLong(view.getLogIndex());
        replicas(view.getMembers(), out);
        replicas(view.getVotingMembers(), out);
    }

    RaftGroupMembersView view(DataInputStream in) throws IOException {
        return models.createRaftGroupMembersViewBuilder().setLogIndex(in.readLong()).setMembers(replicas(in))
                .setVotingMembers(replicas(in)).build();
    }

    void replica(RaftEndpoint endpoint, DataOutputStream out) throws IOException {
        ReplicaId replica = (ReplicaId) endpoint;
        out.writeShort(replica.node());
        out.writeLong(replica.disk());
    }

    ReplicaId replica(DataInputStream in) throws IOException {
        return new ReplicaId(in.readUnsignedShort(), in.readLong());
    }

    private void replicas(Collection<RaftEndpoint> replicas, DataOutputStream out) throws IOException {
        out.writeShort(replicas.size());
        for (RaftEndpoint replica : replicas) {
            replica(replica, out);
        }
    }

    private Collection<RaftEndpoint> replicas(DataInputStream in) throws IOException {
        List<RaftEndpoint> replicas = new ArrayList<>();
        for (int left = Math.min(MOST, in.readUnsignedShort()); left > 0; left--) {
            replicas.add(replica(in));
        }
        return replicas;
    }

    private void operation(Object operation, DataOutputStream out) throws IOException {
        if (operation instanceof UpdateRaftGroupMembersOp update) {
            out.writeByte(OperationCodec.MEMBERSHIP_KIND);
            replicas(update.getMembers(), out);
            replicas(update.getVotingMembers(), out);
            replica(update.getEndpoint(), out);
            out.writeByte(update.getMode().ordinal());
        } else {
            operations.write(operation, out);
        }
    }

    private Object operation(DataInputStream in) throws IOException {
        int kind = in.readByte();
        if (kind != OperationCodec.MEMBERSHIP_KIND) {
            return operations.read(kind, in);
        }
        return models.createUpdateRaftGroupMembersOpBuilder().setMembers(replicas(in)).setVotingMembers(replicas(in))
                .setEndpoint(replica(in)).setMode(MembershipChangeMode.values()[in.readByte()]).build();
    }
}
