package clovermill.dataplane.server;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import clovermill.runtime.net.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class FramesTest {

    private static final int BODY_BYTES = 600;

    /** Guards against lengths that differ from the bytes written, which shift all later frames of a connection. */
    @Property(seed = "65")
    void headOfEveryTextIsAsLongAsItsLengthsSay(@ForAll @StringLength(max = 60) String name,
            @ForAll @StringLength(max = 4096) String value) throws ProtocolException {
        assertRoundTrip(name, value);
    }

    /** The failure of review case 8: noise that is one character of four UTF-8 bytes, two UTF-16 units. */
    @Test
    void headOfACharacterBeyondTheBasicPlaneIsAsLongAsItsLengthsSay() throws ProtocolException {
        assertRoundTrip("etag", "4be0" + Character.toString(0x1F600));
    }

    @Test
    void refusesATextThatItsLengthFieldCannotCount() {
        assertThatThrownBy(() -> head("n".repeat(256), "")).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> head("etag", "v".repeat(65_536))).isInstanceOf(IllegalArgumentException.class);
    }

    private static void assertRoundTrip(String name, String value) throws ProtocolException {
        ByteBuffer head = head(name, value).order(ByteOrder.LITTLE_ENDIAN);
        assertThat(head.getInt()).isEqualTo(head.remaining() + BODY_BYTES);
        head.position(head.position() + 6); // the type, the stream and the code
        assertThat(Frames.fields(head)).isEqualTo(Map.of(asUtf8(name), asUtf8(value)));
        assertThat(head.hasRemaining()).isFalse();
    }

    private static ByteBuffer head(String name, String value) {
        return Frames.responseHead(Frames.RESPONSE, 1, Frames.SERVED, Map.of(name, value), BODY_BYTES);
    }

    /** Returns a text as UTF-8 can carry it: a lone surrogate becomes a question mark. */
    private static String asUtf8(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8);
    }
}
