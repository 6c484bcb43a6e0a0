package clovermill.accord;

import clovermill.accord.decide.Change;
import clovermill.accord.decide.Step;
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

/** MicroRaft's messages, and what its log holds, as bytes; for datagrams and for a voter's file alike. */
final class RaftCodec {

    private static final Object GROUP = Voter.GROUP;
    private static final int MOST = 10_000;

    private final RaftModelFactory models = new DefaultRaftModelFactory();

    void write(RaftMessage message, DataOutputStream out) throws IOException {
        out.writeByte(kind(message));
        seat(message.getSender(), out);
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
            seats(m.getSnapshottedMembers(), out);
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

    RaftMessage read(DataInputStream in) throws IOException {
        int kind = in.readByte();
        Seat sender = seat(in);
        int term = in.readInt();
        return switch (kind) {
            case 1 -> models.createPreVoteRequestBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                    .setLastLogTerm(in.readInt()).setLastLogIndex(in.readLong()).build();
            case 2 -> models.createPreVoteResponseBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                    .setGranted(in.readBoolean()).build();
            case 3 -> models.createVoteRequestBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                    .setLastLogTerm(in.readInt()).setLastLogIndex(in.readLong()).setSticky(in.readBoolean()).build();
            case 4 -> models.createVoteResponseBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                    .setGranted(in.readBoolean()).build();
            case 5 -> append(sender, term, in);
            case 6 -> models.createAppendEntriesSuccessResponseBuilder().setGroupId(GROUP).setSender(sender)
                    .setTerm(term).setLastLogIndex(in.readLong()).setQuerySequenceNumber(in.readLong())
                    .setFlowControlSequenceNumber(in.readLong()).build();
            case 7 -> models.createAppendEntriesFailureResponseBuilder().setGroupId(GROUP).setSender(sender)
                    .setTerm(term).setExpectedNextIndex(in.readLong()).setQuerySequenceNumber(in.readLong())
                    .setFlowControlSequenceNumber(in.readLong()).build();
            case 8 -> models.createInstallSnapshotRequestBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                    .setSenderLeader(in.readBoolean()).setSnapshotTerm(in.readInt()).setSnapshotIndex(in.readLong())
                    .setTotalSnapshotChunkCount(in.readInt()).setSnapshotChunk(in.readBoolean() ? chunk(in) : null)
                    .setSnapshottedMembers(seats(in)).setGroupMembersView(view(in))
                    .setQuerySequenceNumber(in.readLong()).setFlowControlSequenceNumber(in.readLong()).build();
            case 9 -> models.createInstallSnapshotResponseBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                    .setSnapshotIndex(in.readLong()).setRequestedSnapshotChunkIndex(in.readInt())
                    .setQuerySequenceNumber(in.readLong()).setFlowControlSequenceNumber(in.readLong()).build();
            case 10 -> models.createTriggerLeaderElectionRequestBuilder().setGroupId(GROUP).setSender(sender)
                    .setTerm(term).setLastLogTerm(in.readInt()).setLastLogIndex(in.readLong()).build();
            default -> throw new IOException("an unknown message");
        };
    }

    private RaftMessage append(Seat sender, int term, DataInputStream in) throws IOException {
        var append = models.createAppendEntriesRequestBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
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
        seats(view.getMembers(), out);
        seats(view.getVotingMembers(), out);
    }

    RaftGroupMembersView view(DataInputStream in) throws IOException {
        return models.createRaftGroupMembersViewBuilder().setLogIndex(in.readLong()).setMembers(seats(in))
                .setVotingMembers(seats(in)).build();
    }

    void seat(RaftEndpoint endpoint, DataOutputStream out) throws IOException {
        Seat seat = (Seat) endpoint;
        out.writeShort(seat.director());
        out.writeLong(seat.disk());
    }

    Seat seat(DataInputStream in) throws IOException {
        return new Seat(in.readUnsignedShort(), in.readLong());
    }

    private void seats(Collection<RaftEndpoint> seats, DataOutputStream out) throws IOException {
        out.writeShort(seats.size());
        for (RaftEndpoint seat : seats) {
            seat(seat, out);
        }
    }

    private Collection<RaftEndpoint> seats(DataInputStream in) throws IOException {
        List<RaftEndpoint> seats = new ArrayList<>();
        for (int left = Math.min(MOST, in.readUnsignedShort()); left > 0; left--) {
            seats.add(seat(in));
        }
        return seats;
    }

    private void operation(Object operation, DataOutputStream out) throws IOException {
        if (operation instanceof RegisterMachine.NewTerm) {
            out.writeByte(1);
        } else if (operation instanceof Change.Part part) {
            out.writeByte(2);
            out.writeUTF(part.digest());
            out.writeInt(part.number());
            out.writeUTF(part.text());
        } else if (operation instanceof Change.Propose propose) {
            out.writeByte(3);
            out.writeLong(propose.follows());
            out.writeUTF(propose.digest());
        } else if (operation instanceof Change.Settle settle) {
            out.writeByte(4);
            out.writeLong(settle.step());
        } else if (operation instanceof Change.Abort abort) {
            out.writeByte(5);
            out.writeLong(abort.step());
            out.writeUTF(abort.reason());
        } else if (operation instanceof UpdateRaftGroupMembersOp update) {
            out.writeByte(6);
            seats(update.getMembers(), out);
            seats(update.getVotingMembers(), out);
            seat(update.getEndpoint(), out);
            out.writeByte(update.getMode().ordinal());
        } else if (operation instanceof RegisterMachine.Head head) {
            out.writeByte(7);
            out.writeLong(head.step().number());
            out.writeLong(head.step().version());
            out.writeLong(head.step().next());
            out.writeLong(head.endedVersion());
            LetterCodec.text(head.endedReason(), out);
            out.writeUTF(head.draftDigest());
        } else if (operation instanceof RegisterMachine.Piece piece) {
            out.writeByte(8);
            out.writeByte(piece.which());
            out.writeUTF(piece.text());
        } else {
            throw new IOException("an unknown entry: " + operation);
        }
    }

    private Object operation(DataInputStream in) throws IOException {
        return switch (in.readByte()) {
            case 1 -> new RegisterMachine.NewTerm();
            case 2 -> new Change.Part(in.readUTF(), in.readInt(), in.readUTF());
            case 3 -> new Change.Propose(in.readLong(), in.readUTF());
            case 4 -> new Change.Settle(in.readLong());
            case 5 -> new Change.Abort(in.readLong(), in.readUTF());
            case 6 -> models.createUpdateRaftGroupMembersOpBuilder().setMembers(seats(in)).setVotingMembers(seats(in))
                    .setEndpoint(seat(in)).setMode(MembershipChangeMode.values()[in.readByte()]).build();
            case 7 -> new RegisterMachine.Head(new Step(in.readLong(), in.readLong(), in.readLong()), in.readLong(),
                    LetterCodec.text(in), in.readUTF());
            case 8 -> new RegisterMachine.Piece(in.readByte(), in.readUTF());
            default -> throw new IOException("an unknown entry");
        };
    }
}
