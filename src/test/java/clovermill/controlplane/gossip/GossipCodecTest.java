package clovermill.controlplane.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import clovermill.controlplane.gossip.GossipCodec.InvalidMessageException;
import clovermill.controlplane.gossip.decide.GossipMessage;
import clovermill.controlplane.gossip.decide.ReplicatedEntry;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class GossipCodecTest {

    private static final byte[] KEY = new byte[16];
    private static final GossipMessage FULL = new GossipMessage(3, -5, 77, 1234567890123L,
            IntStream.range(0, 12).mapToObj(GossipCodecTest::entry).toList(),
            List.of(new GossipMessage.LoanRequest(0, -1, 12.5), new GossipMessage.LoanRequest(15, 8, 0)),
            List.of(new GossipMessage.Loan(1, 42, 1e9)));

    private final GossipCodec sender = new GossipCodec(3, KEY);
    private final GossipCodec receiver = new GossipCodec(4, KEY);

    private static ReplicatedEntry entry(int i) {
        return new ReplicatedEntry("cache/" + "x".repeat(50) + i, i % 2 == 0, 9 + i, 65_535);
    }

    @Test
    void wireFormatIsUnchanged() throws Exception {
        ByteBuffer datagram = sender.encode(4, FULL);
        byte[] hash = MessageDigest.getInstance("SHA-256").digest(Arrays.copyOf(datagram.array(), datagram.limit()));
        assertThat(HexFormat.of().formatHex(hash)).isEqualTo(
                "05434e17bd97354d2979b2c098cc4fe63bae72762d66f84a7cd1795b68f29de5");
    }

    @Test
    void decodesEncodedMessages() throws InvalidMessageException {
        ByteBuffer datagram = sender.encode(4, FULL);
        assertThat(datagram.remaining()).isLessThanOrEqualTo(GossipCodec.MAX_BYTES);
        assertThat(receiver.decode(datagram)).isEqualTo(FULL);
    }

    @Test
    void rejectsMessagesWithAnotherKeyOrToAnotherDirector() {
        assertThatThrownBy(() -> new GossipCodec(4, "another key here".getBytes(StandardCharsets.US_ASCII))
                .decode(sender.encode(4, FULL)))
                .isInstanceOf(InvalidMessageException.class).hasMessageContaining("not signed");
        assertThatThrownBy(() -> new GossipCodec(5, KEY).decode(sender.encode(4, FULL)))
                .isInstanceOf(InvalidMessageException.class).hasMessageContaining("another director");
    }

    @Test
    void rejectsSignedButMalformedMessages() {
        GossipMessage forged =
                new GossipMessage(3, 1, 1, 1, List.of(), List.of(new GossipMessage.LoanRequest(0, 1, Double.NaN)),
                        List.of());
        assertThatThrownBy(() -> receiver.decode(sender.encode(4, forged)))
                .hasMessage("an amount that is negative or not finite");
        GossipMessage withoutKey =
                new GossipMessage(3, 1, 1, 1, List.of(new ReplicatedEntry("", true, 1, 1)), List.of(),
                        List.of());
        assertThatThrownBy(() -> receiver.decode(sender.encode(4, withoutKey)))
                .hasMessageStartingWith("an entry without a key");
    }

    @Property(tries = 2000)
    void rejectsTruncatedAndChangedDatagramsWithTheTypedException(@ForAll long seed,
            @ForAll @IntRange(max = 2) int damage) {
        SplittableRandom random = new SplittableRandom(seed);
        ByteBuffer datagram = sender.encode(4, FULL);
        byte[] bytes = Arrays.copyOf(datagram.array(), datagram.limit());
        switch (damage) {
            case 0 -> bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
            case 1 -> bytes = Arrays.copyOf(bytes, random.nextInt(bytes.length));
            default -> random.nextBytes(bytes);
        }
        ByteBuffer damaged = ByteBuffer.wrap(bytes);
        assertThatThrownBy(() -> receiver.decode(damaged)).isInstanceOf(InvalidMessageException.class);
    }
}
