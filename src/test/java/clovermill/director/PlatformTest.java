package clovermill.director;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import clovermill.config.Config;
import clovermill.config.Json;
import clovermill.runtime.net.Clock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;

class PlatformTest {

    private static Config config(String admin) throws Exception {
        return Config.read(Files.readString(Path.of("src/test/resources/director.json"))
                .replaceAll("\\$\\{[^}]*}", "127.0.0.1:9")
                .replace("\"admin\":\"127.0.0.1:0\",", admin == null ? "" : "\"admin\":\"" + admin + "\","), null);
    }

    private static Platform read(Map<String, String> environment, Config config) throws Exception {
        return Platform.read(environment, config, new StartupRetry(Clock.system(), micros -> {
            throw new AssertionError("nothing here is worth another try");
        }));
    }

    /** The next process has another address of its own, with the configuration unchanged. */
    @Test
    void theAddressForOperatorsInTheEnvironmentStandsAboveTheConfiguration() throws Exception {
        assertThat(read(Map.of(), config("127.0.0.1:4001")).adminAddress())
                .contains(new InetSocketAddress("127.0.0.1", 4001));
        assertThat(read(Map.of("BALANCER_ADMIN", "127.0.0.1:4002"), config("127.0.0.1:4001")).adminAddress())
                .contains(new InetSocketAddress("127.0.0.1", 4002));
        assertThat(read(Map.of("BALANCER_ADMIN", "127.0.0.1:4002"), config(null)).adminAddress())
                .contains(new InetSocketAddress("127.0.0.1", 4002));
        assertThatThrownBy(() -> read(Map.of("BALANCER_ADMIN", "somewhere"), config(null)))
                .isInstanceOf(Json.Malformed.class);
    }

    @Test
    void aPlatformWithoutAnAddressForOperatorsHasNone() throws Exception {
        assertThat(read(Map.of(), config(null)).adminAddress()).isEmpty();
    }

    /** Only where a socket is passed does another process of the same director ever run. */
    @Test
    void nothingIsSharedWithoutAPassedSocket() throws Exception {
        Platform platform = read(Map.of("TMPDIR", "/nowhere"), config(null));
        assertThat(platform.inheritedSocket()).isEmpty();
        assertThat(platform.sharedFolder()).isEmpty();
        assertThatThrownBy(() -> read(Map.of("BALANCER_PASSED_SOCKET", "3"), config(null)))
                .isInstanceOf(IOException.class).hasMessageContaining("BALANCER_PASSED_SOCKET=3");
    }
}
