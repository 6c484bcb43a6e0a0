package clovermill.controlplane.policystore;

import clovermill.controlplane.consensus.OperationCodec;
import clovermill.controlplane.consensus.RaftMessageCodec;
import clovermill.controlplane.policystore.decide.PolicyChange;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/** The encoding of log entries and snapshot chunks, used in a voter's file and in Raft messages. */
final class PolicyOperationCodec implements OperationCodec {

    /** The name of the Raft group. */
    static final Object GROUP = "policy";

    private static final int NEW_TERM = 1;
    private static final int APPEND_PART = 2;
    private static final int PROPOSE = 3;
    private static final int COMPLETE = 4;
    private static final int ABORT = 5;
    // 6 is OperationCodec.MEMBERSHIP_KIND
    private static final int SNAPSHOT_HEADER = 7;
    private static final int SNAPSHOT_PART = 8;

    /** Returns the codec of the voters' Raft messages and files. */
    static RaftMessageCodec messages() {
        return new RaftMessageCodec(GROUP, new PolicyOperationCodec());
    }

    @Override
    public void write(Object operation, DataOutputStream out) throws IOException {
        if (operation instanceof PolicyStateMachine.NewTerm) {
            out.writeByte(NEW_TERM);
        } else if (operation instanceof PolicyChange change) {
            writeChange(change, out);
        } else if (operation instanceof PolicyStateMachine.SnapshotHeader header) {
            out.writeByte(SNAPSHOT_HEADER);
            PolicyMessageBody.writeStep(header.step(), out);
            out.writeLong(header.lastVersion());
            PolicyMessageBody.writeNullable(header.lastAbortReason(), out);
            out.writeUTF(header.draftDigest());
        } else if (operation instanceof PolicyStateMachine.SnapshotPart part) {
            out.writeByte(SNAPSHOT_PART);
            out.writeByte(part.which());
            out.writeUTF(part.text());
        } else {
            throw new IOException("unknown log entry: " + operation);
        }
    }

    private static void writeChange(PolicyChange change, DataOutputStream out) throws IOException {
        if (change instanceof PolicyChange.AppendPart part) {
            out.writeByte(APPEND_PART);
            out.writeUTF(part.digest());
            out.writeInt(part.number());
            out.writeUTF(part.text());
        } else if (change instanceof PolicyChange.Propose propose) {
            out.writeByte(PROPOSE);
            out.writeLong(propose.baseVersion());
            out.writeUTF(propose.digest());
        } else if (change instanceof PolicyChange.Complete complete) {
            out.writeByte(COMPLETE);
            out.writeLong(complete.step());
        } else if (change instanceof PolicyChange.Abort abort) {
            out.writeByte(ABORT);
            out.writeLong(abort.step());
            out.writeUTF(abort.reason());
        }
    }

    @Override
    public Object read(int kind, DataInputStream in) throws IOException {
        return switch (kind) {
            case NEW_TERM -> new PolicyStateMachine.NewTerm();
            case APPEND_PART -> new PolicyChange.AppendPart(in.readUTF(), in.readInt(), in.readUTF());
            case PROPOSE -> new PolicyChange.Propose(in.readLong(), in.readUTF());
            case COMPLETE -> new PolicyChange.Complete(in.readLong());
            case ABORT -> new PolicyChange.Abort(in.readLong(), in.readUTF());
            case SNAPSHOT_HEADER -> new PolicyStateMachine.SnapshotHeader(PolicyMessageBody.readStep(in),
                    in.readLong(), PolicyMessageBody.readNullable(in), in.readUTF());
            case SNAPSHOT_PART -> new PolicyStateMachine.SnapshotPart(in.readByte(), in.readUTF());
            default -> throw new IOException("unknown kind of log entry: " + kind);
        };
    }
}
