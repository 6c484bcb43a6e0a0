package clovermill.director;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.config.Config;
import clovermill.config.Json;
import clovermill.controlplane.discovery.DiscoveryEventParser;
import clovermill.controlplane.discovery.DiscoveryEvents;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

class WarmupTest {

    /** The first requests must not meet code that was never run; an empty list must not stop the start. */
    @Test
    void theRouterDecidesOnEveryRequestWhateverTheList() throws Exception {
        Config config = Config.read(Files.readString(Path.of("example/config.json")), null);
        DiscoveryEvents known = DiscoveryEventParser.parse(config.known(), config.zones(), config.kinds());
        assertThat(Warmup.run(config.settings(), known)).isEqualTo(300);
        DiscoveryEvents empty =
                DiscoveryEventParser.parse(Json.parse("{\"cursor\":0,\"cmds\":[]}"), List.of(), List.of());
        assertThat(Warmup.run(config.settings(), empty)).isZero();
    }
}
