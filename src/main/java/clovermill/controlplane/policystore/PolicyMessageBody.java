package clovermill.controlplane.policystore;

import clovermill.controlplane.policystore.decide.PolicyTransition;
import clovermill.controlplane.policystore.decide.ProposalResult;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.Set;
import java.util.TreeSet;

/**
 * The body of a message: a type byte and the components of the record but {@code from}, in their order. Big-endian; a
 * string is a length of two bytes and modified UTF-8, a nullable string has a presence byte before it, a set is a count
 * and numbers of two bytes each.
 */
final class PolicyMessageBody {

    private static final int LEASE_REQUEST = 1;
    private static final int LEASE_GRANT = 2;
    private static final int LEADER_HINT = 3;
    private static final int PART_REQUEST = 4;
    private static final int PART_RESPONSE = 5;
    private static final int CHANGE_REQUEST = 6;
    private static final int CHANGE_RESPONSE = 7;
    private static final int RAFT_ENVELOPE = 8;
    private static final int JOIN_REQUEST = 9;
    private static final int JOIN_RESPONSE = 10;

    private PolicyMessageBody() {}

    static void write(PolicyMessage message, DataOutputStream out) throws IOException {
        if (message instanceof PolicyMessage.LeaseRequest request) {
            writeLeaseRequest(request, out);
        } else if (message instanceof PolicyMessage.LeaseGrant grant) {
            writeLeaseGrant(grant, out);
        } else if (message instanceof PolicyMessage.LeaderHint hint) {
            writeLeaderHint(hint, out);
        } else if (message instanceof PolicyMessage.PartRequest request) {
            writePartRequest(request, out);
        } else if (message instanceof PolicyMessage.PartResponse part) {
            writePartResponse(part, out);
        } else if (message instanceof PolicyMessage.ChangeRequest request) {
            writeChangeRequest(request, out);
        } else if (message instanceof PolicyMessage.ChangeResponse response) {
            writeChangeResponse(response, out);
        } else if (message instanceof PolicyMessage.RaftEnvelope raft) {
            writeRaftEnvelope(raft, out);
        } else if (message instanceof PolicyMessage.JoinRequest request) {
            writeJoinRequest(request, out);
        } else if (message instanceof PolicyMessage.JoinResponse response) {
            writeJoinResponse(response, out);
        }
    }

    private static void writeLeaseRequest(PolicyMessage.LeaseRequest request, DataOutputStream out)
            throws IOException {
        out.writeByte(LEASE_REQUEST);
        out.writeLong(request.processId());
        out.writeLong(request.requestId());
        out.writeLong(request.confirmedStep());
        out.writeLong(request.rejectedStep());
        writeNullable(request.rejection(), out);
    }

    private static void writeLeaseGrant(PolicyMessage.LeaseGrant grant, DataOutputStream out) throws IOException {
        out.writeByte(LEASE_GRANT);
        out.writeLong(grant.processId());
        out.writeLong(grant.requestId());
        writeStep(grant.step(), out);
        out.writeUTF(grant.policy());
        out.writeInt(grant.policyParts());
        out.writeUTF(grant.next());
        out.writeInt(grant.nextParts());
        out.writeShort(grant.unconfirmed().size());
        for (int director : grant.unconfirmed()) {
            out.writeShort(director);
        }
        out.writeLong(grant.remainingUs());
        writeNullable(grant.lastAbortReason(), out);
    }

    private static void writeLeaderHint(PolicyMessage.LeaderHint hint, DataOutputStream out) throws IOException {
        out.writeByte(LEADER_HINT);
        out.writeLong(hint.requestId());
        out.writeInt(hint.leader());
    }

    private static void writePartRequest(PolicyMessage.PartRequest request, DataOutputStream out) throws IOException {
        out.writeByte(PART_REQUEST);
        out.writeUTF(request.digest());
        out.writeInt(request.number());
    }

    private static void writePartResponse(PolicyMessage.PartResponse part, DataOutputStream out) throws IOException {
        out.writeByte(PART_RESPONSE);
        out.writeUTF(part.digest());
        out.writeInt(part.number());
        out.writeInt(part.parts());
        out.writeUTF(part.text());
    }

    private static void writeChangeRequest(PolicyMessage.ChangeRequest request, DataOutputStream out)
            throws IOException {
        out.writeByte(CHANGE_REQUEST);
        out.writeLong(request.requestId());
        out.writeLong(request.baseVersion());
        out.writeUTF(request.digest());
        out.writeInt(request.parts());
    }

    private static void writeChangeResponse(PolicyMessage.ChangeResponse response, DataOutputStream out)
            throws IOException {
        out.writeByte(CHANGE_RESPONSE);
        out.writeLong(response.requestId());
        out.writeByte(response.result().ordinal());
        out.writeLong(response.version());
    }

    private static void writeRaftEnvelope(PolicyMessage.RaftEnvelope raft, DataOutputStream out) throws IOException {
        out.writeByte(RAFT_ENVELOPE);
        out.writeLong(raft.disk());
        PolicyOperationCodec.messages().write(raft.message(), out);
    }

    private static void writeJoinRequest(PolicyMessage.JoinRequest request, DataOutputStream out) throws IOException {
        out.writeByte(JOIN_REQUEST);
        out.writeLong(request.disk());
        out.writeBoolean(request.empty());
    }

    private static void writeJoinResponse(PolicyMessage.JoinResponse response, DataOutputStream out)
            throws IOException {
        out.writeByte(JOIN_RESPONSE);
        out.writeLong(response.disk());
        out.writeBoolean(response.hasGroup());
        out.writeBoolean(response.isVoter());
    }

    /**
     * Reads a body.
     *
     * @throws MalformedMessageException if its type is unknown
     * @throws IOException if it ends too early
     */
    static PolicyMessage read(int from, DataInputStream in) throws IOException, MalformedMessageException {
        return switch (in.readByte()) {
            case LEASE_REQUEST -> new PolicyMessage.LeaseRequest(from, in.readLong(), in.readLong(), in.readLong(),
                    in.readLong(), readNullable(in));
            case LEASE_GRANT -> new PolicyMessage.LeaseGrant(from, in.readLong(), in.readLong(), readStep(in),
                    in.readUTF(), in.readInt(), in.readUTF(), in.readInt(), readNumbers(in), in.readLong(),
                    readNullable(in));
            case LEADER_HINT -> new PolicyMessage.LeaderHint(from, in.readLong(), in.readInt());
            case PART_REQUEST -> new PolicyMessage.PartRequest(from, in.readUTF(), in.readInt());
            case PART_RESPONSE -> new PolicyMessage.PartResponse(from, in.readUTF(), in.readInt(), in.readInt(),
                    in.readUTF());
            case CHANGE_REQUEST -> new PolicyMessage.ChangeRequest(from, in.readLong(), in.readLong(), in.readUTF(),
                    in.readInt());
            case CHANGE_RESPONSE -> new PolicyMessage.ChangeResponse(from, in.readLong(),
                    ProposalResult.values()[in.readByte()], in.readLong());
            case RAFT_ENVELOPE -> new PolicyMessage.RaftEnvelope(from, in.readLong(),
                    PolicyOperationCodec.messages().read(in));
            case JOIN_REQUEST -> new PolicyMessage.JoinRequest(from, in.readLong(), in.readBoolean());
            case JOIN_RESPONSE -> new PolicyMessage.JoinResponse(from, in.readLong(), in.readBoolean(),
                    in.readBoolean());
            default -> throw new MalformedMessageException("unknown message type: sent by a later version?");
        };
    }

    static void writeStep(PolicyTransition step, DataOutputStream out) throws IOException {
        out.writeLong(step.number());
        out.writeLong(step.version());
        out.writeLong(step.next());
    }

    static PolicyTransition readStep(DataInputStream in) throws IOException {
        return new PolicyTransition(in.readLong(), in.readLong(), in.readLong());
    }

    static void writeNullable(String text, DataOutputStream out) throws IOException {
        out.writeBoolean(text != null);
        out.writeUTF(text == null ? "" : text);
    }

    static String readNullable(DataInputStream in) throws IOException {
        boolean present = in.readBoolean();
        String text = in.readUTF();
        return present ? text : null;
    }

    private static Set<Integer> readNumbers(DataInputStream in) throws IOException {
        Set<Integer> numbers = new TreeSet<>();
        for (int left = in.readUnsignedShort(); left > 0; left--) {
            numbers.add(in.readUnsignedShort());
        }
        return numbers;
    }
}
