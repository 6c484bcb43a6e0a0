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

    /** The routing code must have run before the first request; an empty endpoint list must not prevent the start. */
    @Test
    void routesEveryRequestAndAcceptsAnEmptyEndpointList() throws Exception {
        Config config = Config.read(Files.readString(Path.of("example/config.json")), null);
        DiscoveryEvents initialEvents = DiscoveryEventParser.parse(config.initialEvents(),
                config.zones(), config.kinds());
        assertThat(Warmup.run(config.settings(), initialEvents)).isEqualTo(300);
        DiscoveryEvents empty =
                DiscoveryEventParser.parse(Json.parse("{\"cursor\":0,\"cmds\":[]}"), List.of(), List.of());
        assertThat(Warmup.run(config.settings(), empty)).isZero();
    }
}
