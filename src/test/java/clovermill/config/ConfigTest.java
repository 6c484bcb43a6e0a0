package clovermill.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import clovermill.routing.api.Effect;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

class ConfigTest {

    private static String example() throws IOException {
        return Files.readString(Path.of("example/config.json"));
    }

    @Test
    void readsTheExample() throws Exception {
        Config config = Config.read(example(), "127.0.0.7:99");
        assertThat(config.listen().toString()).isEqualTo("/127.0.0.7:99");
        assertThat(config.classes()).containsExactly("page", "order");
        assertThat(config.sockets()).isEqualTo(1024);
        assertThat(config.seed()).isEqualTo(Long.parseUnsignedLong("8c1f30d27a5be964", 16));
        assertThat(config.settings().classes().get(1).effect()).isEqualTo(Effect.DEDUPLICATED);
        assertThat(config.settings().classes().get(1).windowUs()).isEqualTo(3_000_000);
        assertThat(config.settings().classes().get(1).passThrough()).isTrue();
        assertThat(config.settings().classes().get(0).freshUs()).isEqualTo(20_000_000);
        assertThat(config.settings().capabilities().maxAttempts()).isEqualTo(8);
        assertThat(config.settings().directorsByZone()).containsExactly(0, 1);
    }

    /** A start with an invalid configuration must fail with one line instead of a stack trace. */
    @Test
    void reportsEachMissingOrInvalidMemberAsMalformed() throws Exception {
        for (String member : List.of("name", "listen", "channel", "seed", "limits", "known", "settings", "zones",
                "kinds", "request-classes", "sockets")) {
            String without = example().replace("\"" + member + "\":", "\"x-" + member + "\":");
            assertThatThrownBy(() -> Config.read(without, null)).as(member).isInstanceOf(Json.Malformed.class);
        }
        for (String[] change : new String[][] {{"127.0.0.1:8080", "localhost:8080"}, {"127.0.0.1:8080", "127.0.0.1:x"},
            {"8c1f30d27a5be964", "seed"}, {"\"aim-us\":300000", "\"aim-us\":\"soon\""}}) {
            assertThatThrownBy(() -> Config.read(example().replace(change[0], change[1]), null)).as(change[1])
                    .isInstanceOf(Json.Malformed.class);
        }
        assertThatThrownBy(() -> Config.load("no such file", null)).isInstanceOf(Json.Malformed.class);
    }
}
