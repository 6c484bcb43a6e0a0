package clovermill.dataplane.upstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import clovermill.routing.ParserAssertions;
import clovermill.runtime.net.Budget;
import clovermill.runtime.net.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class ResponseParserTest {

    private static final byte[] INPUT =
            "a1 DONE etag=t,made=5 4\r\n\r\n\0x\r\na2 LACK - 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private final Budget budget = new Budget(1000);

    private ParserAssertions.Parser parser(Consumer<String> responses) {
        ResponseParser parser = new ResponseParser(budget, (id, word, fields, body) -> {
            responses.accept(id + " " + word + " " + new TreeMap<>(fields) + " " + body.bytes().length);
            body.close();
        });
        return data -> {
            try {
                parser.parse(data);
            } catch (ProtocolException malformed) {
                parser.close();
                throw malformed;
            }
        };
    }

    @Test
    void parsesTheSameResponsesForEverySplitOfTheInput() throws Exception {
        ParserAssertions.assertSameForEverySplit(INPUT, List.of("a1 DONE {etag=t, made=5} 4", "a2 LACK {} 0"),
                this::parser);
        assertThat(budget.used()).isZero();
    }

    @Test
    void throwsOnlyProtocolExceptionForMalformedInput() {
        ParserAssertions.assertFailsOnlyWith(INPUT, ProtocolException.class, this::parser);
    }

    @Test
    void rejectsMalformedResponses() {
        for (String bad : List.of("a1 DONE - x\r\n", "a1 DONE - -1\r\n", "a1 DONE - 99999999\r\n", "a1 DONE -\r\n",
                "a1 DONE - 0\n", "a1 DONE - 0\r\nxx", "a1 DONE =v 0\r\n\r\n",
                "a1 DONE a,b 0\r\n\r\n", "x".repeat(5000))) {
            ByteBuffer data = ByteBuffer.wrap(bad.getBytes(StandardCharsets.US_ASCII));
            assertThatThrownBy(() -> parser(responses -> {}).parse(data)).as(bad)
                    .isInstanceOf(ProtocolException.class);
        }
        assertThat(budget.used()).isZero();
    }

    /**
     * Bodies waiting for slow clients must not fill the heap: the next is not read until the budget has memory for it.
     */
    @Test
    void stopsBeforeBodyThatExceedsBudget() throws Exception {
        List<String> responses = new ArrayList<>();
        assertThat(budget.tryReserve(999)).isTrue();
        ResponseParser parser = new ResponseParser(budget, (id, word, fields, body) -> responses.add(id));
        ByteBuffer data = ByteBuffer.wrap(INPUT);
        parser.parse(data);
        assertThat(parser.awaitsBudget()).isTrue();
        assertThat(responses).isEmpty();
        budget.release(999);
        parser.parse(data);
        assertThat(responses).containsExactly("a1", "a2");
    }

    /** The receiver of a response owns its body only once it has taken it: no memory may be lost if it throws. */
    @Test
    void closesTheBodyOfAResponseThatItsReceiverRejects() {
        ResponseParser parser = new ResponseParser(budget, (id, word, fields, body) -> {
            throw new ProtocolException("rejected");
        });
        assertThatThrownBy(() -> parser.parse(ByteBuffer.wrap(INPUT))).hasMessage("rejected");
        assertThat(budget.used()).isZero();
    }
}
