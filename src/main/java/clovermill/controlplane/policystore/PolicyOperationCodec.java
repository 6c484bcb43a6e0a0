package clovermill.controlplane.policystore;

import clovermill.controlplane.consensus.OperationCodec;
import clovermill.controlplane.consensus.RaftMessageCodec;
import clovermill.controlplane.policystore.decide.PolicyChange;
import clovermill.controlplane.policystore.decide.PolicyTransition;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/** The register's changes and the pieces of its snapshot as bytes. */
final class PolicyOperationCodec implements OperationCodec {

    /** The name of the group that agrees on the register. */
    static final Object GROUP = "policy";

    /** The codec of the voters' messages and of their files. */
    static RaftMessageCodec messages() {
        return new RaftMessageCodec(GROUP, new PolicyOperationCodec());
    }

    @Override
    public void write(Object operation, DataOutputStream out) throws IOException {
        if (operation instanceof PolicyStateMachine.NewTerm) {
            out.writeByte(1);
        } else if (operation instanceof PolicyChange.Part part) {
            out.writeByte(2);
            out.writeUTF(part.digest());
            out.writeInt(part.number());
            out.writeUTF(part.text());
        } else if (operation instanceof PolicyChange.Propose propose) {
            out.writeByte(3);
            out.writeLong(propose.follows());
            out.writeUTF(propose.digest());
        } else if (operation instanceof PolicyChange.Settle settle) {
            out.writeByte(4);
            out.writeLong(settle.step());
        } else if (operation instanceof PolicyChange.Abort abort) {
            out.writeByte(5);
            out.writeLong(abort.step());
            out.writeUTF(abort.reason());
        } else if (operation instanceof PolicyStateMachine.Head head) {
            out.writeByte(7);
            out.writeLong(head.step().number());
            out.writeLong(head.step().version());
            out.writeLong(head.step().next());
            out.writeLong(head.endedVersion());
            PolicyMessageCodec.text(head.endedReason(), out);
            out.writeUTF(head.draftDigest());
        } else if (operation instanceof PolicyStateMachine.Piece piece) {
            out.writeByte(8);
            out.writeByte(piece.which());
            out.writeUTF(piece.text());
        } else {
            throw new IOException("an unknown entry: " + operation);
        }
    }

    @Override
    public Object read(int kind, DataInputStream in) throws IOException {
        return switch (kind) {
            case 1 -> new PolicyStateMachine.NewTerm();
            case 2 -> new PolicyChange.Part(in.readUTF(), in.readInt(), in.readUTF());
            case 3 -> new PolicyChange.Propose(in.readLong(), in.readUTF());
            case 4 -> new PolicyChange.Settle(in.readLong());
            case 5 -> new PolicyChange.Abort(in.readLong(), in.readUTF());
            case 7 -> new PolicyStateMachine.Head(new PolicyTransition(in.readLong(), in.readLong(), in.readLong()),
                    in.readLong(),
                    PolicyMessageCodec.text(in), in.readUTF());
            case 8 -> new PolicyStateMachine.Piece(in.readByte(), in.readUTF());
            default -> throw new IOException("an unknown entry");
        };
    }
}
