package clovermill.controlplane.gossip;

import clovermill.controlplane.gossip.decide.GossipMessage;
import clovermill.controlplane.gossip.decide.ReplicatedEntry;
import clovermill.runtime.net.Peers;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;

/**
 * Encodes and decodes messages as datagrams, signed with the fleet's key (the first 16 bytes of HMAC-SHA-256, RFC
 * 2104). Big-endian:
 *
 * <pre>
 * magic:4 "CVF1"  from:2  to:2  incarnation:8  sequence:8  digest:8
 * count:1, for each entry:         size:1 key  value:1  version:8  origin:2
 * count:1, for each loan request:  limit:1  nonce:8  amount:8 (IEEE 754)
 * count:1, for each loan:          limit:1  nonce:8  amount:8
 * signature:16
 * </pre>
 *
 * <p>A datagram in any other format, for another director or with another signature causes an {@link
 * InvalidMessageException} and has no other effect. Not thread-safe.
 */
final class GossipCodec {

    /** Thrown for a datagram that is not a valid message; the text gives the reason and none of the content. */
    static final class InvalidMessageException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidMessageException(String reason) {
            super(reason, null, false, false);
        }
    }

    /** Fits into one frame of any link, so that no datagram is fragmented. */
    static final int MAX_BYTES = 1400;
    static final int MAX_KEY_BYTES = 64;
    private static final int MAGIC = 0x43564631;
    private static final int SIGNATURE_BYTES = 16;
    private static final int MAX_ITEMS = 64;

    private final int self;
    private final Mac mac;

    GossipCodec(int self, byte[] key) {
        this.self = self;
        mac = Peers.mac(key);
    }

    /** Encodes a message to a peer. */
    ByteBuffer encode(int to, GossipMessage message) {
        ByteBuffer out = ByteBuffer.allocate(MAX_BYTES);
        out.putInt(MAGIC).putShort((short) message.from()).putShort((short) to).putLong(message.incarnation())
                .putLong(message.sequence()).putLong(message.digest()).put((byte) message.entries().size());
        for (ReplicatedEntry each : message.entries()) {
            byte[] key = each.key().getBytes(StandardCharsets.UTF_8);
            out.put((byte) key.length).put(key).put((byte) (each.value() ? 1 : 0)).putLong(each.version())
                    .putShort((short) each.origin());
        }
        out.put((byte) message.loanRequests().size());
        message.loanRequests()
                .forEach(each -> out.put((byte) each.limit()).putLong(each.nonce()).putDouble(each.amount()));
        out.put((byte) message.loans().size());
        message.loans().forEach(each -> out.put((byte) each.limit()).putLong(each.nonce()).putDouble(each.amount()));
        mac.update(out.array(), 0, out.position());
        return out.put(mac.doFinal(), 0, SIGNATURE_BYTES).flip();
    }

    /**
     * Decodes a datagram from its position to its limit.
     *
     * @throws InvalidMessageException if it is not a valid message to this director
     */
    GossipMessage decode(ByteBuffer in) throws InvalidMessageException {
        if (in.remaining() < 4 + SIGNATURE_BYTES || in.remaining() > MAX_BYTES || in.getInt(in.position()) != MAGIC) {
            throw new InvalidMessageException("unknown protocol or invalid length");
        }
        byte[] datagram = new byte[in.remaining()];
        in.get(datagram);
        int signedBytes = datagram.length - SIGNATURE_BYTES;
        mac.update(datagram, 0, signedBytes);
        // Compares in constant time, so that the time does not reveal how much of a forged signature was correct.
        byte[] expected = Arrays.copyOf(mac.doFinal(), SIGNATURE_BYTES);
        if (!MessageDigest.isEqual(expected, Arrays.copyOfRange(datagram, signedBytes, datagram.length))) {
            throw new InvalidMessageException("not signed with the fleet's key, or changed in transit");
        }
        try {
            return readMessage(ByteBuffer.wrap(datagram, 4, signedBytes - 4));
        } catch (BufferUnderflowException truncated) {
            throw new InvalidMessageException("shorter than its counts require");
        }
    }

    private GossipMessage readMessage(ByteBuffer in) throws InvalidMessageException {
        int from = in.getShort() & 0xffff;
        if ((in.getShort() & 0xffff) != self) {
            throw new InvalidMessageException("addressed to another director");
        }
        long incarnation = in.getLong();
        long sequence = in.getLong();
        long digest = in.getLong();
        List<ReplicatedEntry> entries = readEntries(in);
        List<GossipMessage.LoanRequest> requests = readLoanRequests(in);
        List<GossipMessage.Loan> loans = readLoans(in);
        if (in.hasRemaining()) {
            throw new InvalidMessageException("longer than its counts require");
        }
        return new GossipMessage(from, incarnation, sequence, digest, entries, requests, loans);
    }

    private static List<ReplicatedEntry> readEntries(ByteBuffer in) throws InvalidMessageException {
        List<ReplicatedEntry> entries = new ArrayList<>();
        for (int i = readCount(in); i > 0; i--) {
            byte[] key = new byte[in.get() & 0xff];
            in.get(key);
            if (key.length == 0 || key.length > MAX_KEY_BYTES) {
                throw new InvalidMessageException("an entry without a key, or with too long a key");
            }
            entries.add(new ReplicatedEntry(new String(key, StandardCharsets.UTF_8), in.get() == 1, in.getLong(),
                    in.getShort() & 0xffff));
        }
        return entries;
    }

    private static List<GossipMessage.LoanRequest> readLoanRequests(ByteBuffer in) throws InvalidMessageException {
        List<GossipMessage.LoanRequest> requests = new ArrayList<>();
        for (int i = readCount(in); i > 0; i--) {
            requests.add(new GossipMessage.LoanRequest(in.get() & 0xff, in.getLong(), readAmount(in)));
        }
        return requests;
    }

    private static List<GossipMessage.Loan> readLoans(ByteBuffer in) throws InvalidMessageException {
        List<GossipMessage.Loan> loans = new ArrayList<>();
        for (int i = readCount(in); i > 0; i--) {
            loans.add(new GossipMessage.Loan(in.get() & 0xff, in.getLong(), readAmount(in)));
        }
        return loans;
    }

    private static int readCount(ByteBuffer in) throws InvalidMessageException {
        int count = in.get() & 0xff;
        if (count > MAX_ITEMS) {
            throw new InvalidMessageException("too many items");
        }
        return count;
    }

    private static double readAmount(ByteBuffer in) throws InvalidMessageException {
        double amount = in.getDouble();
        if (!(amount >= 0 && amount < Double.POSITIVE_INFINITY)) {
            throw new InvalidMessageException("an amount that is negative or not finite");
        }
        return amount;
    }
}
