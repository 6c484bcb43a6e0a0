package clovermill.controlplane.eventlog;

import clovermill.controlplane.eventlog.decide.ReplayWindow;
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
 * magic:4 "CVE1"  to:2  from:2  incarnation:8  number:8  type:1  the packet's fields, in the order of its record
 * signature:16
 * a truncated prefix = present:1, and if so sequence:8 createdAtMs:8
 * </pre>
 *
 * <p>A datagram that is not exactly this, for this process, signed by this key and received for the first time, causes
 * an {@link InvalidPacketException} and no other effect. Not thread-safe.
 */
final class PacketCodec {

    /** A packet and the process that sent it. */
    record Received(int from, Packet packet) {}

    private static final int MAGIC = 0x43564531;
    private static final int SIGNATURE_BYTES = 16;
    private static final int HEADER_BYTES = 25;
    private static final int INITIAL_BUFFER_BYTES = 256;

    private final int self;
    private final int members;
    private final long incarnation;
    private final Mac mac;
    private final PacketBodyCodec bodies = new PacketBodyCodec();
    /** The last number used, by receiver; at most one for each member. */
    private final Map<Integer, Long> lastNumbers = new HashMap<>();
    /** By sender; at most one for each member. */
    private final Map<Integer, ReplayWindow> windows = new HashMap<>();

    /**
     * The codec of one process incarnation.
     *
     * @param members the number of processes; a sender's number must be below it
     * @param incarnation a random number drawn at this start of the process
     */
    PacketCodec(int self, int members, byte[] key, long incarnation) {
        this.self = self;
        this.members = members;
        this.incarnation = incarnation;
        this.mac = Peers.mac(key);
    }

    /** A packet to a process as a signed datagram. */
    byte[] write(int to, Packet packet) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeInt(MAGIC);
            out.writeShort(to);
            out.writeShort(self);
            out.writeLong(incarnation);
            out.writeLong(lastNumbers.merge(to, 1L, Long::sum));
            bodies.write(packet, out);
            out.flush();
            mac.update(bytes.toByteArray());
            out.write(mac.doFinal(), 0, SIGNATURE_BYTES);
            return bytes.toByteArray();
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /** Reads a datagram. */
    Received read(byte[] datagram) throws InvalidPacketException {
        int signedBytes = datagram.length - SIGNATURE_BYTES;
        if (signedBytes < HEADER_BYTES) {
            throw new InvalidPacketException("too short");
        }
        checkSignature(datagram, signedBytes);
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(datagram, 0, signedBytes))) {
            int from = readHeader(in);
            Packet packet = bodies.read(in);
            if (in.read() >= 0) {
                throw new InvalidPacketException("more follows the packet");
            }
            return new Received(from, packet);
        } catch (IOException | IllegalArgumentException | IndexOutOfBoundsException | ClassCastException bad) {
            throw new InvalidPacketException("not readable");
        }
    }

    private void checkSignature(byte[] datagram, int signedBytes) throws InvalidPacketException {
        mac.update(datagram, 0, signedBytes);
        byte[] expected = Arrays.copyOf(mac.doFinal(), SIGNATURE_BYTES);
        if (!MessageDigest.isEqual(expected, Arrays.copyOfRange(datagram, signedBytes, datagram.length))) {
            throw new InvalidPacketException("not signed with the fleet's key");
        }
    }

    /** Checks the header and returns the sender. */
    private int readHeader(DataInputStream in) throws IOException, InvalidPacketException {
        if (in.readInt() != MAGIC) {
            throw new InvalidPacketException("not of this protocol");
        }
        if (in.readUnsignedShort() != self) {
            throw new InvalidPacketException("for another process");
        }
        int from = in.readUnsignedShort();
        if (from >= members) {
            throw new InvalidPacketException("from an unknown process");
        }
        if (!windows.computeIfAbsent(from, sender -> new ReplayWindow()).accept(in.readLong(), in.readLong())) {
            throw new InvalidPacketException("replayed");
        }
        return from;
    }
}
