package clovermill.controlplane.policystore;

import clovermill.controlplane.policystore.decide.PolicyRegister.Taken;
import clovermill.controlplane.policystore.decide.PolicyTransition;
import clovermill.runtime.net.Peers;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Set;
import java.util.TreeSet;
import javax.crypto.Mac;

/**
 * Letters as datagrams, signed with the fleet's key (HMAC-SHA-256, RFC 2104, its first 16 bytes). Big-endian:
 *
 * <pre>
 * magic:4 "CVA1"  to:2  from:2  type:1  the letter's own, in the order of its record   signature:16
 * text = a length of two bytes and modified UTF-8; a set = count:2 and numbers of 2 bytes
 * </pre>
 *
 * <p>Whatever is not exactly this, for this director and by this key, is a {@link BadLetter} and nothing else. A letter
 * that is played again gives no lease and no vote: each is bound to a process, a question, a term or a step.
 */
final class PolicyMessageCodec {

    /** A datagram that is none of ours; the message says why, and holds nothing of what it carried. */
    static final class BadLetter extends Exception {
        private static final long serialVersionUID = 1L;

        BadLetter(String reason) {
            super(reason, null, false, false);
        }
    }

    private static final int MAGIC = 0x43564131;
    private static final int SIGNATURE = 16;
    private static final int HEAD = 9;

    private final int self;
    private final Mac mac;

    PolicyMessageCodec(int self, byte[] key) {
        this.self = self;
        mac = Peers.mac(key);
    }

    /** A letter to a fellow, ready to be sent. */
    ByteBuffer write(int to, PolicyMessage letter) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeInt(MAGIC);
            out.writeShort(to);
            out.writeShort(letter.from());
            body(letter, out);
            out.flush();
            mac.update(bytes.toByteArray());
            out.write(mac.doFinal(), 0, SIGNATURE);
            return ByteBuffer.wrap(bytes.toByteArray());
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private static void body(PolicyMessage letter, DataOutputStream out) throws IOException {
        if (letter instanceof PolicyMessage.Ask ask) {
            out.writeByte(1);
            out.writeLong(ask.boot());
            out.writeLong(ask.question());
            out.writeLong(ask.step());
            out.writeLong(ask.noTo());
            text(ask.no(), out);
        } else if (letter instanceof PolicyMessage.Grant grant) {
            out.writeByte(2);
            out.writeLong(grant.boot());
            out.writeLong(grant.question());
            out.writeLong(grant.step().number());
            out.writeLong(grant.step().version());
            out.writeLong(grant.step().next());
            out.writeUTF(grant.policy());
            out.writeInt(grant.policyParts());
            out.writeUTF(grant.next());
            out.writeInt(grant.nextParts());
            out.writeShort(grant.missing().size());
            for (int director : grant.missing()) {
                out.writeShort(director);
            }
            out.writeLong(grant.leftUs());
            text(grant.lastReason(), out);
        } else if (letter instanceof PolicyMessage.Elsewhere elsewhere) {
            out.writeByte(3);
            out.writeLong(elsewhere.question());
            out.writeInt(elsewhere.leader());
        } else if (letter instanceof PolicyMessage.PartAsk ask) {
            out.writeByte(4);
            out.writeUTF(ask.digest());
            out.writeInt(ask.number());
        } else if (letter instanceof PolicyMessage.Part part) {
            out.writeByte(5);
            out.writeUTF(part.digest());
            out.writeInt(part.number());
            out.writeInt(part.parts());
            out.writeUTF(part.text());
        } else if (letter instanceof PolicyMessage.Submit submit) {
            out.writeByte(6);
            out.writeLong(submit.call());
            out.writeLong(submit.follows());
            out.writeUTF(submit.digest());
            out.writeInt(submit.parts());
        } else if (letter instanceof PolicyMessage.Submitted done) {
            out.writeByte(7);
            out.writeLong(done.call());
            out.writeByte(done.taken().ordinal());
            out.writeLong(done.version());
        } else if (letter instanceof PolicyMessage.Raft raft) {
            out.writeByte(8);
            out.writeLong(raft.disk());
            PolicyOperationCodec.messages().write(raft.message(), out);
        } else if (letter instanceof PolicyMessage.Join join) {
            out.writeByte(9);
            out.writeLong(join.disk());
            out.writeBoolean(join.empty());
        } else if (letter instanceof PolicyMessage.Joined joined) {
            out.writeByte(10);
            out.writeLong(joined.disk());
            out.writeBoolean(joined.group());
            out.writeBoolean(joined.member());
        }
    }

    /** Reads a datagram. */
    PolicyMessage read(ByteBuffer datagram) throws BadLetter {
        byte[] all = new byte[datagram.remaining()];
        datagram.get(all);
        int length = all.length - SIGNATURE;
        if (length < HEAD || ByteBuffer.wrap(all).getInt() != MAGIC) {
            throw new BadLetter("not of this form");
        }
        mac.update(all, 0, length);
        if (!MessageDigest.isEqual(Arrays.copyOf(mac.doFinal(), SIGNATURE), Arrays.copyOfRange(all, length,
                all.length))) {
            throw new BadLetter("not signed with the fleet's key");
        }
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(all, 4, length - 4))) {
            if (in.readUnsignedShort() != self) {
                throw new BadLetter("for another director");
            }
            PolicyMessage letter = letter(in.readUnsignedShort(), in);
            if (in.read() >= 0) {
                throw new BadLetter("more follows the letter");
            }
            return letter;
        } catch (IOException | IllegalArgumentException | IndexOutOfBoundsException | ClassCastException bad) {
            throw new BadLetter("not readable");
        }
    }

    private static PolicyMessage letter(int from, DataInputStream in) throws IOException, BadLetter {
        return switch (in.readByte()) {
            case 1 -> new PolicyMessage.Ask(from, in.readLong(), in.readLong(), in.readLong(), in.readLong(), text(in));
            case 2 -> new PolicyMessage.Grant(from, in.readLong(), in.readLong(),
                    new PolicyTransition(in.readLong(), in.readLong(),
                            in.readLong()),
                    in.readUTF(), in.readInt(), in.readUTF(), in.readInt(), numbers(in), in.readLong(),
                    text(in));
            case 3 -> new PolicyMessage.Elsewhere(from, in.readLong(), in.readInt());
            case 4 -> new PolicyMessage.PartAsk(from, in.readUTF(), in.readInt());
            case 5 -> new PolicyMessage.Part(from, in.readUTF(), in.readInt(), in.readInt(), in.readUTF());
            case 6 -> new PolicyMessage.Submit(from, in.readLong(), in.readLong(), in.readUTF(), in.readInt());
            case 7 -> new PolicyMessage.Submitted(from, in.readLong(), Taken.values()[in.readByte()], in.readLong());
            case 8 -> new PolicyMessage.Raft(from, in.readLong(), PolicyOperationCodec.messages().read(in));
            case 9 -> new PolicyMessage.Join(from, in.readLong(), in.readBoolean());
            case 10 -> new PolicyMessage.Joined(from, in.readLong(), in.readBoolean(), in.readBoolean());
            default -> throw new BadLetter("of an unknown kind: a later version may have sent it");
        };
    }

    private static Set<Integer> numbers(DataInputStream in) throws IOException {
        Set<Integer> numbers = new TreeSet<>();
        for (int left = in.readUnsignedShort(); left > 0; left--) {
            numbers.add(in.readUnsignedShort());
        }
        return numbers;
    }

    static void text(String text, DataOutputStream out) throws IOException {
        out.writeBoolean(text != null);
        out.writeUTF(text == null ? "" : text);
    }

    static String text(DataInputStream in) throws IOException {
        boolean there = in.readBoolean();
        String text = in.readUTF();
        return there ? text : null;
    }
}
