package clovermill.controlplane.eventlog;

import clovermill.controlplane.consensus.RaftMessageCodec;
import clovermill.controlplane.eventlog.decide.EventLog;
import clovermill.controlplane.eventlog.decide.EventLogMessage;
import clovermill.controlplane.eventlog.decide.LogRange;
import clovermill.controlplane.eventlog.decide.ReplayWindow;
import clovermill.controlplane.eventlog.decide.TruncatedPrefix;
import clovermill.runtime.net.Peers;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import javax.crypto.Mac;

/**
 * Packets as datagrams, signed with the fleet's key (HMAC-SHA-256, RFC 2104, its first 16 bytes). Big-endian:
 *
 * <pre>
 * magic:4 "CVE1"  to:2  from:2  boot:8  number:8  type:1  the packet's own, in the order of its record  signature:16
 * a clear = there:1, and if so sequence:8 made:8
 * </pre>
 *
 * <p>Whatever is not exactly this, for this process, by this key and for the first time, is an {@link
 * InvalidPacketException} and nothing else. Not thread-safe.
 */
final class PacketCodec {

    /** A datagram that is none of ours; the message says why, and holds nothing of what it carried. */
    static final class InvalidPacketException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidPacketException(String reason) {
            super(reason, null, false, false);
        }
    }

    /** A packet and who sent it. */
    record Received(int from, Packet packet) {}

    private static final int MAGIC = 0x43564531;
    private static final int SIGNATURE = 16;
    private static final int HEADER = 25;
    private static final int FOLLOW = 1;
    private static final int BATCH = 2;
    private static final int OPEN = 3;
    private static final int OPENED = 4;
    private static final int APPEND = 5;
    private static final int ANSWERED = 6;
    private static final int REDIRECT = 7;
    private static final int READ_INDEX = 8;
    private static final int READ_INDEX_ANSWER = 9;
    private static final int RAFT = 10;
    private static final int JOIN = 11;
    private static final int JOINED = 12;

    private final int self;
    private final int members;
    private final long boot;
    private final Mac mac;
    private final RaftMessageCodec raft = EventOperationCodec.messages();
    /** Numbers given so far, by receiver; at most one for each member. */
    private final Map<Integer, Long> numbers = new HashMap<>();
    /** By sender; at most one for each member. */
    private final Map<Integer, ReplayWindow> windows = new HashMap<>();

    /**
     * The codec of one start of a process.
     *
     * @param members how many processes there are; numbers from there on are nobody's
     * @param boot a random number for this start
     */
    PacketCodec(int self, int members, byte[] key, long boot) {
        this.self = self;
        this.members = members;
        this.boot = boot;
        this.mac = Peers.mac(key);
    }

    /** A packet to a process, ready to be sent. */
    byte[] write(int to, Packet packet) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeInt(MAGIC);
            out.writeShort(to);
            out.writeShort(self);
            out.writeLong(boot);
            out.writeLong(numbers.merge(to, 1L, Long::sum));
            body(packet, out);
            out.flush();
            mac.update(bytes.toByteArray());
            out.write(mac.doFinal(), 0, SIGNATURE);
            return bytes.toByteArray();
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private void body(Packet packet, DataOutputStream out) throws IOException {
        if (packet instanceof Packet.EventLogPacket plain) {
            plain(plain.message(), out);
        } else if (packet instanceof Packet.RaftPacket message) {
            out.writeByte(RAFT);
            out.writeLong(message.disk());
            raft.write(message.message(), out);
        } else if (packet instanceof Packet.JoinRequest join) {
            out.writeByte(JOIN);
            out.writeLong(join.disk());
            out.writeBoolean(join.empty());
        } else if (packet instanceof Packet.JoinResponse joined) {
            out.writeByte(JOINED);
            out.writeLong(joined.disk());
            out.writeBoolean(joined.group());
            out.writeBoolean(joined.member());
        }
    }

    private static void plain(EventLogMessage message, DataOutputStream out) throws IOException {
        if (message instanceof EventLogMessage.Follow follow) {
            out.writeByte(FOLLOW);
            out.writeLong(follow.boot());
            out.writeLong(follow.question());
            out.writeLong(follow.logId());
            out.writeLong(follow.position());
            out.writeBoolean(follow.wantsAnswer());
        } else if (message instanceof EventLogMessage.Batch batch) {
            batch(batch, out);
        } else if (message instanceof EventLogMessage.OpenSession open) {
            out.writeByte(OPEN);
            out.writeLong(open.nonce());
        } else if (message instanceof EventLogMessage.SessionOpened opened) {
            out.writeByte(OPENED);
            out.writeLong(opened.nonce());
            out.writeLong(opened.session());
        } else if (message instanceof EventLogMessage.Append append) {
            out.writeByte(APPEND);
            out.writeLong(append.session());
            out.writeLong(append.call());
            EventCodec.writeEvents(append.events(), out);
        } else if (message instanceof EventLogMessage.AppendAnswer answered) {
            out.writeByte(ANSWERED);
            out.writeLong(answered.session());
            out.writeLong(answered.call());
            out.writeByte(answered.result().outcome().ordinal());
            out.writeLong(answered.result().last());
        } else if (message instanceof EventLogMessage.Redirect redirect) {
            out.writeByte(REDIRECT);
            out.writeShort(redirect.leader());
        } else if (message instanceof EventLogMessage.ReadIndex read) {
            out.writeByte(READ_INDEX);
            out.writeLong(read.number());
        } else if (message instanceof EventLogMessage.ReadIndexAnswer answer) {
            out.writeByte(READ_INDEX_ANSWER);
            out.writeLong(answer.number());
            out.writeLong(answer.head());
        }
    }

    private static void batch(EventLogMessage.Batch batch, DataOutputStream out) throws IOException {
        out.writeByte(BATCH);
        out.writeLong(batch.boot());
        out.writeLong(batch.question());
        out.writeLong(batch.logId());
        out.writeLong(batch.provenHead());
        out.writeLong(batch.proofAgeUs());
        LogRange slice = batch.slice();
        out.writeLong(slice.from());
        out.writeLong(slice.to());
        out.writeLong(slice.completeAt());
        out.writeBoolean(slice.clear() != null);
        if (slice.clear() != null) {
            out.writeLong(slice.clear().sequence());
            out.writeLong(slice.clear().madeMs());
        }
        EventCodec.writeEntries(slice.from(), slice.entries(), out);
    }

    /** Reads a datagram. */
    Received read(byte[] all) throws InvalidPacketException {
        int signed = all.length - SIGNATURE;
        if (signed < HEADER) {
            throw new InvalidPacketException("too short");
        }
        mac.update(all, 0, signed);
        if (!MessageDigest.isEqual(Arrays.copyOf(mac.doFinal(), SIGNATURE), Arrays.copyOfRange(all, signed,
                all.length))) {
            throw new InvalidPacketException("not signed with the fleet's key");
        }
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(all, 0, signed))) {
            if (in.readInt() != MAGIC) {
                throw new InvalidPacketException("not of this protocol");
            }
            if (in.readUnsignedShort() != self) {
                throw new InvalidPacketException("for another process");
            }
            int from = in.readUnsignedShort();
            if (from >= members) {
                throw new InvalidPacketException("from nobody of the fleet");
            }
            if (!windows.computeIfAbsent(from, sender -> new ReplayWindow()).take(in.readLong(), in.readLong())) {
                throw new InvalidPacketException("a repeated one");
            }
            Packet packet = packet(in);
            if (in.read() >= 0) {
                throw new InvalidPacketException("more follows the packet");
            }
            return new Received(from, packet);
        } catch (IOException | IllegalArgumentException | IndexOutOfBoundsException | ClassCastException bad) {
            throw new InvalidPacketException("not readable");
        }
    }

    private Packet packet(DataInputStream in) throws IOException, InvalidPacketException {
        int type = in.readUnsignedByte();
        return switch (type) {
            case RAFT -> new Packet.RaftPacket(in.readLong(), raft.read(in));
            case JOIN -> new Packet.JoinRequest(in.readLong(), in.readBoolean());
            case JOINED -> new Packet.JoinResponse(in.readLong(), in.readBoolean(), in.readBoolean());
            default -> new Packet.EventLogPacket(message(type, in));
        };
    }

    private static EventLogMessage message(int type, DataInputStream in) throws IOException, InvalidPacketException {
        return switch (type) {
            case FOLLOW -> new EventLogMessage.Follow(in.readLong(), in.readLong(), in.readLong(), in.readLong(),
                    in.readBoolean());
            case BATCH ->
                new EventLogMessage.Batch(in.readLong(), in.readLong(), in.readLong(), in.readLong(), in.readLong(),
                        slice(in));
            case OPEN -> new EventLogMessage.OpenSession(in.readLong());
            case OPENED -> new EventLogMessage.SessionOpened(in.readLong(), in.readLong());
            case APPEND -> new EventLogMessage.Append(in.readLong(), in.readLong(), EventCodec.readEvents(in));
            case ANSWERED -> new EventLogMessage.AppendAnswer(in.readLong(), in.readLong(), new EventLog.AppendResult(
                    EventLog.AppendOutcome.values()[in.readUnsignedByte()], in.readLong()));
            case REDIRECT -> new EventLogMessage.Redirect(in.readShort());
            case READ_INDEX -> new EventLogMessage.ReadIndex(in.readLong());
            case READ_INDEX_ANSWER -> new EventLogMessage.ReadIndexAnswer(in.readLong(), in.readLong());
            default -> throw new InvalidPacketException("of an unknown kind: a later version may have sent it");
        };
    }

    private static LogRange slice(DataInputStream in) throws IOException {
        long from = in.readLong();
        long to = in.readLong();
        long completeAt = in.readLong();
        TruncatedPrefix clear = in.readBoolean() ? new TruncatedPrefix(in.readLong(), in.readLong()) : null;
        return new LogRange(from, to, completeAt, clear, EventCodec.readEntries(from, in));
    }
}
