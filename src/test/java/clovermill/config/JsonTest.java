package clovermill.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import clovermill.routing.ParserAssertions;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class JsonTest {

    private static final String TEXT =
            " {\"a\":[1,-2.5e3,true,false,null],\"b\":{\"c\":\"x\\n\\u0041\\\"\"},\"d\":{},\"e\":[]} ";

    @Test
    void readsEveryKindOfValue() throws Json.Malformed {
        Map<?, ?> root = Json.object(Json.parse(TEXT));
        assertThat(Json.list(root, "a")).isEqualTo(java.util.Arrays.asList(1.0, -2500.0, true, false, null));
        assertThat(Json.string(Json.object(root, "b"), "c")).isEqualTo("x\nA\"");
        assertThat(Json.object(root, "d")).isEmpty();
        assertThat(Json.list(root, "e")).isEmpty();
        assertThat(Json.number(Json.object(Json.parse("{\"when\":1764576000123}")), "when"))
                .isEqualTo(1764576000123.0);
    }

    @Test
    void rejectsInvalidJson() {
        for (String invalid : List.of("", "{", "[1,]", "{\"a\"}", "{a:1}", "01", "1 2", "\"\\x\"", "\"\\u12g4\"",
                "\"a", "tru", "+1", "[" + "[".repeat(10_000), "\"\n\"", "--1")) {
            assertThatThrownBy(() -> Json.parse(invalid)).as(invalid).isInstanceOf(Json.Malformed.class);
        }
    }

    @Test
    void failsOnlyWithMalformedForMutatedText() {
        ParserAssertions.assertFailsOnlyWith(TEXT.getBytes(StandardCharsets.UTF_8), Json.Malformed.class,
                sink -> data -> Json.parse(StandardCharsets.ISO_8859_1.decode(data).toString()));
    }
}
