package clovermill.controlplane.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import clovermill.routing.ParserAssertions;
import clovermill.runtime.net.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class HttpResponseParserTest {

    private static final byte[] INPUT = ("HTTP/1.1 200 OK\r\ncontent-LENGTH: 5\r\n\r\nhello"
            + "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "3\r\nabc\r\n2;x=y\r\nde\r\n"
            + "0\r\nTrailer: t\r\n\r\nHTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII);

    private ParserAssertions.Parser parser(Consumer<String> received) {
        return new HttpResponseParser((status, body, last) -> received.accept(status + " " + body + " " + last))::parse;
    }

    @Test
    void parsesTheSameResponsesAtEverySplit() throws Exception {
        ParserAssertions.assertSameForEverySplit(INPUT, List.of("200 hello false", "200 abcde false", "503  true"),
                this::parser);
    }

    @Test
    void failsOnlyWithProtocolExceptionsForCorruptedInput() {
        ParserAssertions.assertFailsOnlyWith(INPUT, ProtocolException.class, this::parser);
    }

    @Test
    void completesABodyWithoutLengthWhenThePeerCloses() throws Exception {
        List<String> received = new ArrayList<>();
        HttpResponseParser parser = new HttpResponseParser((status, body, last) -> received.add(body + " " + last));
        parser.parse(ByteBuffer.wrap("HTTP/1.0 200 OK\r\n\r\nall".getBytes(StandardCharsets.US_ASCII)));
        assertThat(received).isEmpty();
        parser.end();
        assertThat(received).containsExactly("all true");
    }

    @Test
    void rejectsTooLargeResponsesAndNegativeLengths() {
        for (String bad : List.of("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", "x".repeat(9000),
                "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n")) {
            ByteBuffer data = ByteBuffer.wrap(bad.getBytes(StandardCharsets.US_ASCII));
            assertThatThrownBy(() -> parser(received -> {}).parse(data)).isInstanceOf(ProtocolException.class);
        }
    }
}
