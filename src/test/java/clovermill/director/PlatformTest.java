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
            throw new AssertionError("unexpected retry");
        }));
    }

    /** During a handover the next process has its own admin address but the same configuration. */
    @Test
    void adminAddressInTheEnvironmentOverridesTheConfiguration() throws Exception {
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
    void hasNoAdminAddressIfNoneIsConfigured() throws Exception {
        assertThat(read(Map.of(), config(null)).adminAddress()).isEmpty();
    }

    /** Another process of the same director runs only if a socket is passed. */
    @Test
    void hasNoSharedFolderWithoutAPassedSocket() throws Exception {
        Platform platform = read(Map.of("TMPDIR", "/nowhere"), config(null));
        assertThat(platform.inheritedSocket()).isEmpty();
        assertThat(platform.sharedFolder()).isEmpty();
        assertThatThrownBy(() -> read(Map.of("BALANCER_PASSED_SOCKET", "3"), config(null)))
                .isInstanceOf(IOException.class).hasMessageContaining("BALANCER_PASSED_SOCKET=3");
    }
}
