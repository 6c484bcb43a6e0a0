package clovermill.controlplane.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.config.Config;
import clovermill.config.Json;
import clovermill.controlplane.outage.OutageRegistry;
import clovermill.dataplane.proxy.ProxyCore;
import clovermill.dataplane.upstream.UpstreamPool;
import clovermill.routing.api.Availability;
import clovermill.routing.api.Event;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.Member;
import clovermill.routing.api.MembersChanged;
import clovermill.routing.api.Purge;
import clovermill.runtime.net.Budget;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import clovermill.runtime.net.ManualClock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What the registry remembers of as many caches as the operators have, and of ids that come and go. */
class EndpointHistoryTest {

    /** The most caches that the operators have. */
    private static final int MOST_CACHES = 3200;

    private final ManualClock clock = new ManualClock();
    private final List<Long> startsUs = new ArrayList<>();
    private final List<Event> routerEvents = new ArrayList<>();
    private Config config;
    private EndpointRegistry registry;

    @BeforeEach
    void createRegistry() throws Exception {
        config = Config.read(Files.readString(Path.of("src/test/resources/director.json"))
                .replaceAll("\\$\\{[^}]*}", "127.0.0.1:9"), null);
        Deadlines deadlines = new Deadlines();
        UpstreamPool pool = new UpstreamPool(new EventLoop(clock, deadlines), clock, deadlines, new Budget(1000),
                new UpstreamPool.Limits(1, 1, 1, 1));
        ProxyCore core = new ProxyCore((atUs, event, out) -> {
            routerEvents.add(event);
            if (event instanceof MembersChanged list) {
                list.members().forEach(member -> startsUs.add(member.startedUs()));
            }
        }, config.settings(), clock, deadlines, pool);
        registry = new EndpointRegistry(clock, pool, core, new OutageRegistry(), config.settings().originKind());
    }

    private DiscoveryEvents events(String event) throws Json.Malformed {
        DiscoveryEvents parsed = DiscoveryEventParser.parse(Json.parse("{\"cursor\":9,\"cmds\":[" + event + "]}"),
                config.zones(), config.kinds());
        return new DiscoveryEvents(parsed.cursor(), parsed.events(), clock.micros());
    }

    private void poll(String event) throws Exception {
        registry.apply(events(event));
    }

    /** Lists the cache {@code s-1} by itself and returns its start. */
    private long startOf(long startedMs) throws Exception {
        poll(change("s-1", "ready", startedMs));
        return startsUs.get(startsUs.size() - 1);
    }

    private static String change(String id, String state, long startedMs) {
        return "{\"cursor\":9,\"nodes\":{\"full\":false,\"servers\":[" + server(id, state, startedMs) + "]}}";
    }

    private static String server(String id, String state, long startedMs) {
        return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:9\",\"zone\":\"edge\",\"kind\":\"std\",\"cell\":1,"
                + "\"state\":\"" + state + "\",\"weight\":6,\"started_ms\":" + startedMs + "}";
    }

    private static String fullList(int first, int count, long startedMs) {
        return "{\"cursor\":9,\"nodes\":{\"full\":true,\"servers\":[" + IntStream.range(first, first + count)
                .mapToObj(i -> server("s-" + i, "ready", startedMs)).collect(Collectors.joining(",")) + "]}}";
    }

    /** Guards against caches that all counted as just started, as more were listed than starts were remembered. */
    @Test
    void aListOfSixteenTimesTheCachesKeepsEachStart() throws Exception {
        long startedMs = clock.trueMs() - 60_000;
        registry.applyInitial(events(fullList(0, MOST_CACHES, startedMs)));
        assertThat(startsUs).hasSize(MOST_CACHES).containsOnly(clock.micros() - 50_000_000);
        long startedUs = startsUs.get(0);
        startsUs.clear();
        clock.passMs(20_000);
        poll(fullList(0, MOST_CACHES, startedMs));
        assertThat(startsUs).as("told again").hasSize(MOST_CACHES).containsOnly(startedUs);
    }

    /** Guards against a start that is forgotten while its cache is listed, as thousands of others come and go. */
    @Test
    void aListedCacheKeepsItsStartWhileOthersComeAndGo() throws Exception {
        long startedMs = clock.trueMs() - 300;
        long startedUs = startOf(startedMs);
        for (int i = 0; i < 5_000; i++) {
            poll(change("n-" + i, "ready", startedMs + i));
            poll(change("n-" + i, "gone", startedMs + i));
        }
        clock.passMs(1_000);
        assertThat(startOf(startedMs)).isEqualTo(startedUs);
        assertThat(registry.isKnownCache("s-1")).isTrue();
        assertThat(IntStream.range(0, 5_000).filter(i -> registry.isKnownCache("n-" + i)).toArray()).as("remembered")
                .isEqualTo(IntStream.range(4_000, 5_000).toArray());
    }

    /** Guards against operators' calls refused for listed caches, as only a thousand ids were remembered. */
    @Test
    void operatorsMayCallForEachListedCacheAndTheLatestDropped() throws Exception {
        poll(fullList(0, MOST_CACHES, 0));
        assertThat(IntStream.range(0, MOST_CACHES)).allMatch(i -> registry.isKnownCache("s-" + i));
        poll(fullList(MOST_CACHES, MOST_CACHES, 0));
        assertThat(IntStream.range(MOST_CACHES, 2 * MOST_CACHES)).allMatch(i -> registry.isKnownCache("s-" + i));
        assertThat(IntStream.range(0, MOST_CACHES).filter(i -> registry.isKnownCache("s-" + i)).count())
                .isEqualTo(1_000);
        assertThat(registry.isKnownCache("never")).isFalse();
    }

    /** Guards against a poll with the changes of thousands of caches that had the ring made anew for each. */
    @Test
    void changesThatFollowEachOtherInAPollAreOneEventOfTheRouter() throws Exception {
        String purge = "{\"cursor\":9,\"drop\":{\"family\":17,\"when\":" + clock.trueMs() + "}}";
        String drains = IntStream.range(0, 1_000).mapToObj(i -> change("s-" + i, "draining", 0))
                .collect(Collectors.joining(","));
        poll(fullList(0, MOST_CACHES, 0) + "," + drains + "," + change("s-7", "gone", 0) + "," + purge + ","
                + change("s-7", "ready", 0));
        assertThat(routerEvents).hasSize(4);
        assertThat(routerEvents.get(0)).isInstanceOfSatisfying(MembersChanged.class,
                list -> assertThat(list.scope()).isEqualTo(ListScope.FULL));
        assertThat(routerEvents.get(1)).isInstanceOfSatisfying(MembersChanged.class, list -> {
            assertThat(list.scope()).isEqualTo(ListScope.CHANGES);
            assertThat(list.members()).hasSize(1_001);
            assertThat(list.members().get(1_000).availability()).isEqualTo(Availability.REMOVED);
        });
        assertThat(routerEvents.get(2)).isInstanceOf(Purge.class);
        assertThat(routerEvents.get(3)).isInstanceOfSatisfying(MembersChanged.class,
                list -> assertThat(list.members()).extracting(Member::id).containsExactly("s-7"));
        assertThat(registry.isKnownCache("s-7")).isTrue();
    }
}
