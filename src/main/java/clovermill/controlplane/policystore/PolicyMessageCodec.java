package clovermill.controlplane.policystore;

import clovermill.runtime.net.Peers;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;

/**
 * Encodes messages as datagrams, signed with the fleet's key (HMAC-SHA-256, RFC 2104, truncated to 16 bytes).
 * Big-endian:
 *
 * <pre>
 * magic:4 "CVA1"  to:2  from:2  body (see {@link PolicyMessageBody})  signature:16
 * </pre>
 *
 * <p>A replayed datagram cannot obtain a lease or a vote, as each is bound to a process, a request, a term or a step.
 * Not thread-safe.
 */
final class PolicyMessageCodec {

    private static final int MAGIC = 0x43564131;
    private static final int MAGIC_BYTES = 4;
    private static final int SIGNATURE_BYTES = 16;
    /** The size of the magic, receiver, sender and type. */
    private static final int HEADER_BYTES = 9;
    private static final int INITIAL_BYTES = 256;

    private final int self;
    private final Mac mac;

    PolicyMessageCodec(int self, byte[] key) {
        this.self = self;
        mac = Peers.mac(key);
    }

    /** Encodes a message to a director as a datagram. */
    ByteBuffer write(int to, PolicyMessage message) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeInt(MAGIC);
            out.writeShort(to);
            out.writeShort(message.from());
            PolicyMessageBody.write(message, out);
            out.flush();
            mac.update(bytes.toByteArray());
            out.write(mac.doFinal(), 0, SIGNATURE_BYTES);
            return ByteBuffer.wrap(bytes.toByteArray());
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /**
     * Reads a datagram.
     *
     * @throws MalformedMessageException if it is not a message to this director, signed with the fleet's key
     */
    PolicyMessage read(ByteBuffer datagram) throws MalformedMessageException {
        byte[] bytes = new byte[datagram.remaining()];
        datagram.get(bytes);
        int length = bytes.length - SIGNATURE_BYTES;
        checkSignature(bytes, length);
        try (DataInputStream in =
                new DataInputStream(new ByteArrayInputStream(bytes, MAGIC_BYTES, length - MAGIC_BYTES))) {
            if (in.readUnsignedShort() != self) {
                throw new MalformedMessageException("addressed to another director");
            }
            PolicyMessage message = PolicyMessageBody.read(in.readUnsignedShort(), in);
            if (in.read() >= 0) {
                throw new MalformedMessageException("trailing bytes after the message");
            }
            return message;
        } catch (IOException | IllegalArgumentException | IndexOutOfBoundsException | ClassCastException bad) {
            throw new MalformedMessageException("body cannot be decoded");
        }
    }

    private void checkSignature(byte[] bytes, int length) throws MalformedMessageException {
        if (length < HEADER_BYTES || ByteBuffer.wrap(bytes).getInt() != MAGIC) {
            throw new MalformedMessageException("not a policy store header");
        }
        mac.update(bytes, 0, length);
        byte[] expected = Arrays.copyOf(mac.doFinal(), SIGNATURE_BYTES);
        if (!MessageDigest.isEqual(expected, Arrays.copyOfRange(bytes, length, bytes.length))) {
            throw new MalformedMessageException("not signed with the fleet's key");
        }
    }
}
