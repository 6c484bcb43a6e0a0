package clovermill.channel;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.CacheRouter.Members;
import clovermill.cache.CachePool;
import clovermill.config.Config;
import clovermill.config.Json;
import clovermill.host.Host;
import clovermill.net.Budget;
import clovermill.net.Clock;
import clovermill.net.Deadlines;
import clovermill.net.EventLoop;
import clovermill.outage.Outages;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RosterTest {

    private long nowUs = 1_700_000_000_000_900L;
    private final Clock clock = new Clock() {
        @Override
        public long micros() {
            return nowUs;
        }

        @Override
        public long unixMillis() {
            return nowUs / 1000;
        }
    };
    private final List<Long> startsUs = new ArrayList<>();

    /** A later one would be taken for another start, which voids what is known of the member and its debt. */
    @Test
    void aStartThatIsToldAgainIsTheSameOnTheModulesClock() throws Exception {
        Config config = Config.read(Files.readString(Path.of("src/test/resources/director.json"))
                .replaceAll("\\$\\{[^}]*}", "127.0.0.1:9"), null);
        Deadlines deadlines = new Deadlines();
        CachePool pool = new CachePool(new EventLoop(clock, deadlines), clock, deadlines, new Budget(1000),
                new CachePool.Limits(1, 1, 1, 1));
        Host host = new Host((atUs, event, out) -> {
            if (event instanceof Members news) {
                news.members().forEach(member -> startsUs.add(member.startedUs()));
            }
        }, config.settings(), clock, deadlines, pool);
        Roster roster = new Roster(clock, pool, host, new Outages(), config.settings().originKind());
        tell(roster, config, nowUs / 1000 - 500);
        nowUs += 250_050;
        tell(roster, config, nowUs / 1000 - 750);
        nowUs += 250_050;
        tell(roster, config, nowUs / 1000 - 200);
        assertThat(startsUs).hasSize(3);
        assertThat(startsUs.get(1)).isEqualTo(startsUs.get(0));
        assertThat(startsUs.get(2)).isGreaterThan(startsUs.get(0));
    }

    private void tell(Roster roster, Config config, long startedMs) throws Json.Malformed {
        roster.apply(Commands.read(Json.parse("{\"cursor\":9,\"cmds\":[{\"cursor\":9,\"nodes\":{\"full\":false,"
                + "\"servers\":[{\"id\":\"s-1\",\"addr\":\"127.0.0.1:9\",\"zone\":\"edge\",\"kind\":\"std\",\"cell\":1,"
                + "\"state\":\"ready\",\"weight\":6,\"started_ms\":" + startedMs + "}]}}]}"), config.zones(),
                config.kinds()));
    }
}
