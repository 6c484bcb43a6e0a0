package clovermill.controlplane.consensus;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
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
import java.util.List;

/**
 * A codec of MicroRaft's messages: kind:1, the sender, term:4, then the fields of the message. Big-endian; see {@link
 * RaftLogCodec} for replicas, log entries and snapshot chunks.
 */
public final class RaftMessageCodec {

    private static final int PRE_VOTE_REQUEST = 1;
    private static final int PRE_VOTE_RESPONSE = 2;
    private static final int VOTE_REQUEST = 3;
    private static final int VOTE_RESPONSE = 4;
    private static final int APPEND_REQUEST = 5;
    private static final int APPEND_SUCCESS = 6;
    private static final int APPEND_FAILURE = 7;
    private static final int SNAPSHOT_REQUEST = 8;
    private static final int SNAPSHOT_RESPONSE = 9;
    private static final int ELECTION_REQUEST = 10;

    private final RaftModelFactory models = new DefaultRaftModelFactory();
    private final Object group;
    private final RaftLogCodec log;

    /** Creates a codec for a group whose log contains the operations of a subsystem. */
    public RaftMessageCodec(Object group, OperationCodec operations) {
        this.group = group;
        this.log = new RaftLogCodec(operations);
    }

    /** Returns the codec of the contents of the group's log. */
    RaftLogCodec log() {
        return log;
    }

    /**
     * Writes a message.
     *
     * @throws IOException if the kind of an operation in it is unknown
     */
    public void write(RaftMessage message, DataOutputStream out) throws IOException {
        if (message instanceof PreVoteRequest typed) {
            writePreVoteRequest(typed, out);
        } else if (message instanceof PreVoteResponse typed) {
            writePreVoteResponse(typed, out);
        } else if (message instanceof VoteRequest typed) {
            writeVoteRequest(typed, out);
        } else if (message instanceof VoteResponse typed) {
            writeVoteResponse(typed, out);
        } else if (message instanceof AppendEntriesRequest typed) {
            writeAppendEntriesRequest(typed, out);
        } else if (message instanceof AppendEntriesSuccessResponse typed) {
            writeAppendEntriesSuccessResponse(typed, out);
        } else if (message instanceof AppendEntriesFailureResponse typed) {
            writeAppendEntriesFailureResponse(typed, out);
        } else if (message instanceof InstallSnapshotRequest typed) {
            writeInstallSnapshotRequest(typed, out);
        } else if (message instanceof InstallSnapshotResponse typed) {
            writeInstallSnapshotResponse(typed, out);
        } else if (message instanceof TriggerLeaderElectionRequest typed) {
            writeTriggerLeaderElectionRequest(typed, out);
        } else {
            throw new IOException("unknown Raft message: " + message);
        }
    }

    private void writeHeader(int kind, RaftMessage message, DataOutputStream out) throws IOException {
        out.writeByte(kind);
        log.writeReplica(message.getSender(), out);
        out.writeInt(message.getTerm());
    }

    private void writePreVoteRequest(PreVoteRequest message, DataOutputStream out) throws IOException {
        writeHeader(PRE_VOTE_REQUEST, message, out);
        out.writeInt(message.getLastLogTerm());
        out.writeLong(message.getLastLogIndex());
    }

    private void writePreVoteResponse(PreVoteResponse message, DataOutputStream out) throws IOException {
        writeHeader(PRE_VOTE_RESPONSE, message, out);
        out.writeBoolean(message.isGranted());
    }

    private void writeVoteRequest(VoteRequest message, DataOutputStream out) throws IOException {
        writeHeader(VOTE_REQUEST, message, out);
        out.writeInt(message.getLastLogTerm());
        out.writeLong(message.getLastLogIndex());
        out.writeBoolean(message.isSticky());
    }

    private void writeVoteResponse(VoteResponse message, DataOutputStream out) throws IOException {
        writeHeader(VOTE_RESPONSE, message, out);
        out.writeBoolean(message.isGranted());
    }

    private void writeAppendEntriesRequest(AppendEntriesRequest message, DataOutputStream out) throws IOException {
        writeHeader(APPEND_REQUEST, message, out);
        out.writeInt(message.getPreviousLogTerm());
        out.writeLong(message.getPreviousLogIndex());
        out.writeLong(message.getCommitIndex());
        out.writeLong(message.getQuerySequenceNumber());
        out.writeLong(message.getFlowControlSequenceNumber());
        out.writeShort(message.getLogEntries().size());
        for (LogEntry entry : message.getLogEntries()) {
            log.writeEntry(entry, out);
        }
    }

    private void writeAppendEntriesSuccessResponse(AppendEntriesSuccessResponse message, DataOutputStream out)
            throws IOException {
        writeHeader(APPEND_SUCCESS, message, out);
        out.writeLong(message.getLastLogIndex());
        out.writeLong(message.getQuerySequenceNumber());
        out.writeLong(message.getFlowControlSequenceNumber());
    }

    private void writeAppendEntriesFailureResponse(AppendEntriesFailureResponse message, DataOutputStream out)
            throws IOException {
        writeHeader(APPEND_FAILURE, message, out);
        out.writeLong(message.getExpectedNextIndex());
        out.writeLong(message.getQuerySequenceNumber());
        out.writeLong(message.getFlowControlSequenceNumber());
    }

    private void writeInstallSnapshotRequest(InstallSnapshotRequest message, DataOutputStream out) throws IOException {
        writeHeader(SNAPSHOT_REQUEST, message, out);
        out.writeBoolean(message.isSenderLeader());
        out.writeInt(message.getSnapshotTerm());
        out.writeLong(message.getSnapshotIndex());
        out.writeInt(message.getTotalSnapshotChunkCount());
        out.writeBoolean(message.getSnapshotChunk() != null);
        if (message.getSnapshotChunk() != null) {
            log.writeChunk(message.getSnapshotChunk(), out);
        }
        log.writeReplicas(message.getSnapshottedMembers(), out);
        log.writeView(message.getGroupMembersView(), out);
        out.writeLong(message.getQuerySequenceNumber());
        out.writeLong(message.getFlowControlSequenceNumber());
    }

    private void writeInstallSnapshotResponse(InstallSnapshotResponse message, DataOutputStream out)
            throws IOException {
        writeHeader(SNAPSHOT_RESPONSE, message, out);
        out.writeLong(message.getSnapshotIndex());
        out.writeInt(message.getRequestedSnapshotChunkIndex());
        out.writeLong(message.getQuerySequenceNumber());
        out.writeLong(message.getFlowControlSequenceNumber());
    }

    private void writeTriggerLeaderElectionRequest(TriggerLeaderElectionRequest message, DataOutputStream out)
            throws IOException {
        writeHeader(ELECTION_REQUEST, message, out);
        out.writeInt(message.getLastLogTerm());
        out.writeLong(message.getLastLogIndex());
    }

    /**
     * Reads a message.
     *
     * @throws IOException if the message is truncated or its kind is unknown
     */
    public RaftMessage read(DataInputStream in) throws IOException {
        int kind = in.readByte();
        ReplicaId sender = log.readReplica(in);
        int term = in.readInt();
        return switch (kind) {
            case PRE_VOTE_REQUEST ->
                models.createPreVoteRequestBuilder().setGroupId(group).setSender(sender).setTerm(term)
                        .setLastLogTerm(in.readInt()).setLastLogIndex(in.readLong()).build();
            case PRE_VOTE_RESPONSE ->
                models.createPreVoteResponseBuilder().setGroupId(group).setSender(sender).setTerm(term)
                        .setGranted(in.readBoolean()).build();
            case VOTE_REQUEST -> models.createVoteRequestBuilder().setGroupId(group).setSender(sender).setTerm(term)
                    .setLastLogTerm(in.readInt()).setLastLogIndex(in.readLong()).setSticky(in.readBoolean()).build();
            case VOTE_RESPONSE -> models.createVoteResponseBuilder().setGroupId(group).setSender(sender).setTerm(term)
                    .setGranted(in.readBoolean()).build();
            case APPEND_REQUEST -> readAppendRequest(sender, term, in);
            case APPEND_SUCCESS ->
                models.createAppendEntriesSuccessResponseBuilder().setGroupId(group).setSender(sender)
                        .setTerm(term).setLastLogIndex(in.readLong()).setQuerySequenceNumber(in.readLong())
                        .setFlowControlSequenceNumber(in.readLong()).build();
            case APPEND_FAILURE ->
                models.createAppendEntriesFailureResponseBuilder().setGroupId(group).setSender(sender)
                        .setTerm(term).setExpectedNextIndex(in.readLong()).setQuerySequenceNumber(in.readLong())
                        .setFlowControlSequenceNumber(in.readLong()).build();
            case SNAPSHOT_REQUEST ->
                models.createInstallSnapshotRequestBuilder().setGroupId(group).setSender(sender).setTerm(term)
                        .setSenderLeader(in.readBoolean()).setSnapshotTerm(in.readInt()).setSnapshotIndex(in.readLong())
                        .setTotalSnapshotChunkCount(in.readInt())
                        .setSnapshotChunk(in.readBoolean() ? log.readChunk(in) : null)
                        .setSnapshottedMembers(log.readReplicas(in)).setGroupMembersView(log.readView(in))
                        .setQuerySequenceNumber(in.readLong()).setFlowControlSequenceNumber(in.readLong()).build();
            case SNAPSHOT_RESPONSE ->
                models.createInstallSnapshotResponseBuilder().setGroupId(group).setSender(sender).setTerm(term)
                        .setSnapshotIndex(in.readLong()).setRequestedSnapshotChunkIndex(in.readInt())
                        .setQuerySequenceNumber(in.readLong()).setFlowControlSequenceNumber(in.readLong()).build();
            case ELECTION_REQUEST ->
                models.createTriggerLeaderElectionRequestBuilder().setGroupId(group).setSender(sender)
                        .setTerm(term).setLastLogTerm(in.readInt()).setLastLogIndex(in.readLong()).build();
            default -> throw new IOException("unknown kind of Raft message: " + kind);
        };
    }

    private RaftMessage readAppendRequest(ReplicaId sender, int term, DataInputStream in) throws IOException {
        var append = models.createAppendEntriesRequestBuilder().setGroupId(group).setSender(sender).setTerm(term)
                .setPreviousLogTerm(in.readInt()).setPreviousLogIndex(in.readLong()).setCommitIndex(in.readLong())
                .setQuerySequenceNumber(in.readLong()).setFlowControlSequenceNumber(in.readLong());
        List<LogEntry> entries = new ArrayList<>();
        for (int remaining = in.readUnsignedShort(); remaining > 0; remaining--) {
            entries.add(log.readEntry(in));
        }
        return append.setLogEntries(entries).build();
    }
}
