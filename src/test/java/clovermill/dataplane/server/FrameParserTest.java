package clovermill.dataplane.server;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import clovermill.routing.ParserAssertions;
import clovermill.runtime.net.Budget;
import clovermill.runtime.net.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class FrameParserTest {

    private static final ByteBuffer RESPONSE =
            Frames.responseHead(Frames.RESPONSE, 3_000_000_000L, Frames.REJECTED, Map.of("etag", "100"), 2);
    private final Budget budget = new Budget(100_000);

    private static final FrameParser.SkippedFrameListener FAIL_ON_SKIPPED_FRAME = (type, stream) -> {
        throw new AssertionError("unexpectedly skipped a frame");
    };

    private static byte[] input() {
        return ByteBuffer.allocate(RESPONSE.remaining() + 2 + 9).put(RESPONSE.duplicate()).put(new byte[] {8, 9})
                .put(Frames.emptyFrame(Frames.CANCEL, 7)).array();
    }

    private ParserAssertions.Parser parser(Consumer<String> seen) {
        FrameParser parser = new FrameParser(budget, (type, stream, payload) -> {
            String fields =
                    type == Frames.RESPONSE ? payload.get() + " " + new TreeMap<>(RequestFields.read(payload)) : "";
            seen.accept(type + " " + stream + " " + fields + " " + payload.remaining());
            return true;
        }, FAIL_ON_SKIPPED_FRAME);
        return parser::parse;
    }

    @Test
    void parsesTheSameFramesForEverySplitOfTheInput() throws Exception {
        ParserAssertions.assertSameForEverySplit(input(), List.of("1 3000000000 66 {etag=100} 2", "2 7  0"),
                this::parser);
    }

    @Test
    void throwsOnlyProtocolExceptionForMalformedInput() {
        ParserAssertions.assertFailsOnlyWith(input(), ProtocolException.class, this::parser);
    }

    @Test
    void rejectsLengthOutOfRange() {
        for (int length : new int[] {0, 4, 262_145, -1}) {
            ByteBuffer frame = ByteBuffer.allocate(9).order(ByteOrder.LITTLE_ENDIAN).putInt(0, length);
            assertThatThrownBy(() -> parser(seen -> {}).parse(frame)).isInstanceOf(ProtocolException.class);
        }
    }

    /** Guards against heap exhaustion by many clients that each start a large frame. */
    @Test
    void chargesLargeFrameToBudgetAsItArrivesAndReleasesIt() throws Exception {
        ByteBuffer frame = ByteBuffer.allocate(60_000).order(ByteOrder.LITTLE_ENDIAN).putInt(0, 59_996);
        FrameParser first = new FrameParser(budget, (type, stream, payload) -> true, FAIL_ON_SKIPPED_FRAME);
        first.parse(frame.duplicate().limit(4));
        assertThat(budget.used()).isZero();
        first.parse(frame.duplicate().position(4).limit(59_000));
        assertThat(budget.used()).isBetween(57_000L, 60_000L);
        FrameParser second = new FrameParser(budget, (type, stream, payload) -> true, FAIL_ON_SKIPPED_FRAME);
        ByteBuffer rest = frame.duplicate();
        second.parse(rest);
        assertThat(second.awaitsMemory()).isTrue();
        assertThat(rest.hasRemaining()).isTrue();
        first.parse(frame.duplicate().position(59_000));
        assertThat(budget.used()).isZero();
        second.parse(rest);
        assertThat(second.awaitsMemory()).isFalse();
        assertThat(second.isMidFrame()).isFalse();
    }

    /** Guards against holding the memory of a large malformed frame until the client's connection has closed. */
    @Test
    void releasesTheMemoryOfALargeFrameThatItsReceiverRejects() {
        ByteBuffer frame = ByteBuffer.allocate(60_000).order(ByteOrder.LITTLE_ENDIAN).putInt(0, 59_996);
        FrameParser parser = new FrameParser(budget, (type, stream, payload) -> {
            throw new ProtocolException("rejected");
        }, FAIL_ON_SKIPPED_FRAME);
        assertThatThrownBy(() -> parser.parse(frame)).hasMessage("rejected");
        assertThat(budget.used()).isZero();
    }

    @Test
    void marksEachStreamNumberAsUsedOnce() throws Exception {
        StreamNumbers used = new StreamNumbers();
        for (long stream : new long[] {1, 2, 5, 4, 3, 4_294_967_295L}) {
            assertThat(used.markUsed(stream)).as("stream %d", stream).isTrue();
        }
        for (long stream : new long[] {1, 2, 3, 4, 5, 4_294_967_295L}) {
            assertThat(used.markUsed(stream)).as("stream %d", stream).isFalse();
        }
        assertThat(used.markUsed(6)).isTrue();
        assertThatThrownBy(() -> {
            for (long stream = 10; stream < 10_000; stream += 2) {
                used.markUsed(stream);
            }
        }).isInstanceOf(ProtocolException.class);
    }
}
