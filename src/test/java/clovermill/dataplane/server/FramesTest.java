package clovermill.dataplane.server;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import clovermill.runtime.net.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class FramesTest {

    private static final int BODY_BYTES = 600;
    /** The length, the type, the stream and the code. */
    private static final int FIELDS_OFFSET = 10;

    /** Guards against lengths that differ from the bytes written, which shift all later frames of a connection. */
    @Property(seed = "65")
    void headOfEveryTextIsAsLongAsItsLengthsSay(@ForAll @StringLength(max = 60) String name,
            @ForAll @StringLength(max = 4096) String value) {
        assertRoundTrip(name, value);
    }

    /** The failure of review case 8: noise that is one character of four UTF-8 bytes, two UTF-16 units. */
    @Test
    void headOfACharacterBeyondTheBasicPlaneIsAsLongAsItsLengthsSay() {
        assertRoundTrip("etag", "4be0" + Character.toString(0x1F600));
    }

    /** Unknown fields are skipped, wherever they stand; a head of many short ones must not take time or memory. */
    @Test
    void readsTheFieldsThatTheProtocolDefinesAmongOthers() throws ProtocolException {
        Map<String, String> sent = new LinkedHashMap<>();
        for (int i = 0; i < 250; i++) {
            sent.put("x" + i, "");
            if (i == 120) {
                sent.put("class", "page");
                sent.put("etag", "t\u00e9");
            }
        }
        sent.put("id", "7f3a9c21e0b4d655");
        ByteBuffer head = Frames.responseHead(Frames.RESPONSE, 1, Frames.SERVED, sent, 0)
                .order(ByteOrder.LITTLE_ENDIAN).position(FIELDS_OFFSET);
        assertThat(RequestFields.read(head))
                .isEqualTo(Map.of("class", "page", "etag", "t\u00e9", "id", "7f3a9c21e0b4d655"));
        assertThat(head.hasRemaining()).isFalse();
    }

    @Test
    void refusesATextThatItsLengthFieldCannotCount() {
        assertThatThrownBy(() -> head("n".repeat(256), "")).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> head("etag", "v".repeat(65_536))).isInstanceOf(IllegalArgumentException.class);
    }

    private static void assertRoundTrip(String name, String value) {
        ByteBuffer head = head(name, value).order(ByteOrder.LITTLE_ENDIAN);
        assertThat(head.getInt()).isEqualTo(head.remaining() + BODY_BYTES);
        head.position(head.position() + 6); // the type, the stream and the code
        assertThat(head.get()).as("the number of fields").isEqualTo((byte) 1);
        assertThat(readText(head, head.get() & 0xff)).isEqualTo(asUtf8(name));
        assertThat(readText(head, head.getShort() & 0xffff)).isEqualTo(asUtf8(value));
        assertThat(head.hasRemaining()).isFalse();
    }

    private static ByteBuffer head(String name, String value) {
        return Frames.responseHead(Frames.RESPONSE, 1, Frames.SERVED, Map.of(name, value), BODY_BYTES);
    }

    private static String readText(ByteBuffer from, int bytes) {
        byte[] text = new byte[bytes];
        from.get(text);
        return new String(text, StandardCharsets.UTF_8);
    }

    /** Returns a text as UTF-8 can carry it: a lone surrogate becomes a question mark. */
    private static String asUtf8(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8);
    }
}
