package clovermill.controlplane.admin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import clovermill.controlplane.admin.decide.AdminRequest;
import clovermill.routing.ParserAssertions;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AdminRequestParserTest {

    private static final String SIZED = "PUT /caches/disable?by=night HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n"
            + "{\"id\":\"s\"}";
    private static final String CHUNKED = "\r\nPUT /x HTTP/1.1\nTransfer-Encoding: Chunked\n\n3;e=1\r\nabc\r\nA\r\n"
            + "0123456789\r\n0\r\nTrailer: t\r\n\r\n";

    private static ParserAssertions.Parser parser(Consumer<String> requests) {
        AdminRequestParser parser = new AdminRequestParser();
        return data -> {
            Optional<AdminRequest> parsed = parser.parse(data);
            if (parsed.isPresent() && data.limit() > 0) {
                AdminRequest call = parsed.get();
                requests.accept(call.method() + " " + call.path() + " " + call.body());
            }
        };
    }

    private static Optional<AdminRequest> parse(String text) throws Exception {
        return new AdminRequestParser().parse(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
    }

    @Test
    void aRequestIsTheSameWhereverItIsCut() throws Exception {
        for (int cut = 0; cut < SIZED.length(); cut++) {
            AdminRequestParser parser = new AdminRequestParser();
            assertThat(parser.parse(ByteBuffer.wrap(SIZED.substring(0, cut).getBytes(StandardCharsets.US_ASCII))))
                    .isEmpty();
            assertThat(parser.parse(ByteBuffer.wrap(SIZED.substring(cut).getBytes(StandardCharsets.US_ASCII))))
                    .contains(new AdminRequest("PUT", "/caches/disable", "{\"id\":\"s\"}"));
        }
        for (int cut = 0; cut < CHUNKED.length(); cut++) {
            AdminRequestParser parser = new AdminRequestParser();
            assertThat(parser.parse(ByteBuffer.wrap(CHUNKED.substring(0, cut).getBytes(StandardCharsets.US_ASCII))))
                    .isEmpty();
            assertThat(parser.parse(ByteBuffer.wrap(CHUNKED.substring(cut).getBytes(StandardCharsets.US_ASCII))))
                    .contains(new AdminRequest("PUT", "/x", "abc0123456789"));
        }
        assertThat(parse("GET /ready HTTP/1.0\r\n\r\n")).contains(new AdminRequest("GET", "/ready", ""));
    }

    @ParameterizedTest
    @ValueSource(strings = {"hello\r\n", "GET ready HTTP/1.1\r\n", "GET / HTTP/2.0\r\n", "GET / HTTP/1.1\r\n: v\r\n",
        "GET / HTTP/1.1\r\nA : v\r\n", "GET / HTTP/1.1\r\nContent-Length: -1\r\n",
        "GET / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n", "GET / HTTP/1.1\r\nContent-Length: 999999\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n", "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n"})
    void aMalformedRequestIsRejected(String text) {
        assertThatThrownBy(() -> parse(text)).isInstanceOf(AdminRequestException.class);
    }

    @Test
    void anEndlessHeadIsRejectedAndRandomBytesDoNoHarm() {
        assertThatThrownBy(() -> parse("GET / HTTP/1.1\r\nA: " + "a".repeat(9000)))
                .isInstanceOf(AdminRequestException.class);
        ParserAssertions.assertFailsOnlyWith(CHUNKED.getBytes(StandardCharsets.US_ASCII), AdminRequestException.class,
                AdminRequestParserTest::parser);
    }
}
