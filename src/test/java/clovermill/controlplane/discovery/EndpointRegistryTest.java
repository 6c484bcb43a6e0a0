package clovermill.controlplane.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.config.Config;
import clovermill.config.Json;
import clovermill.controlplane.outage.OutageRegistry;
import clovermill.dataplane.proxy.ProxyCore;
import clovermill.dataplane.upstream.UpstreamPool;
import clovermill.routing.api.Members;
import clovermill.routing.api.Purge;
import clovermill.runtime.net.Budget;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import clovermill.runtime.net.ManualClock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Ages and start times for the module. Stamps are of the true time; the director's own wall clock is stepped. */
class EndpointRegistryTest {

    private static final long HOUR_MS = 3_600_000;
    private static final long HOUR_US = HOUR_MS * 1000;

    private final ManualClock clock = new ManualClock();
    private final List<Long> startsUs = new ArrayList<>();
    private final List<Long> agesUs = new ArrayList<>();
    private Config config;
    private EndpointRegistry registry;
    private long answeredUs = clock.micros();

    @BeforeEach
    void aDirectorWithoutEndpoints() throws Exception {
        config = Config.read(Files.readString(Path.of("src/test/resources/director.json"))
                .replaceAll("\\$\\{[^}]*}", "127.0.0.1:9"), null);
        processStarts();
    }

    private void processStarts() throws Exception {
        Deadlines deadlines = new Deadlines();
        UpstreamPool pool = new UpstreamPool(new EventLoop(clock, deadlines), clock, deadlines, new Budget(1000),
                new UpstreamPool.Limits(1, 1, 1, 1));
        ProxyCore host = new ProxyCore((atUs, event, out) -> {
            if (event instanceof Members list) {
                list.members().forEach(member -> startsUs.add(member.startedUs()));
            } else if (event instanceof Purge purge) {
                agesUs.add(purge.ageUs());
            }
        }, config.settings(), clock, deadlines, pool);
        registry = new EndpointRegistry(clock, pool, host, new OutageRegistry(), config.settings().originKind());
        startsUs.clear();
        agesUs.clear();
    }

    private DiscoveryEvents commands(String... events) throws Json.Malformed {
        DiscoveryEvents read =
                DiscoveryEventParser.parse(Json.parse("{\"cursor\":9,\"cmds\":[" + String.join(",", events) + "]}"),
                        config.zones(), config.kinds());
        return new DiscoveryEvents(read.cursor(), read.events(), answeredUs);
    }

    private static String listed(boolean full, String state, long startedMs) {
        return "{\"cursor\":9,\"nodes\":{\"full\":" + full
                + ",\"servers\":[{\"id\":\"s-1\",\"addr\":\"127.0.0.1:9\",\"zone\":\"edge\""
                + ",\"kind\":\"std\",\"cell\":1,"
                + "\"state\":\"" + state + "\",\"weight\":6,\"started_ms\":" + startedMs + "}]}}";
    }

    private static String purge(long madeMs) {
        return "{\"cursor\":9,\"drop\":{\"family\":17,\"when\":" + madeMs + "}}";
    }

    /** The event of a poll; the poll after it is answered at once, with nothing. */
    private void poll(String event) throws Exception {
        registry.apply(commands(event));
        answeredUs = clock.micros();
    }

    private long pollStart(long startedMs) throws Exception {
        poll(listed(false, "ready", startedMs));
        return startsUs.get(startsUs.size() - 1);
    }

    /** Polls a purge with a delay after it was made; returns the age that reaches the module, in microseconds. */
    private long pollPurge(long delayMs) throws Exception {
        long madeMs = clock.trueMs();
        clock.passMs(delayMs);
        poll(purge(madeMs));
        return agesUs.get(agesUs.size() - 1);
    }

    /** A later one would be taken for another start, which voids what is known of the member and its debt. */
    @Test
    void aStartThatIsToldAgainIsTheSameOnTheModulesClock() throws Exception {
        pollStart(clock.unixMillis() - 500);
        clock.passUs(250_050);
        pollStart(clock.unixMillis() - 750);
        clock.passUs(250_050);
        pollStart(clock.unixMillis() - 200);
        assertThat(startsUs).hasSize(3);
        assertThat(startsUs.get(1)).isEqualTo(startsUs.get(0));
        assertThat(startsUs.get(2)).isGreaterThan(startsUs.get(0));
    }

    /** An age over the true one lets copies from before the purge be served; one far below it costs fills. */
    @ParameterizedTest
    @ValueSource(longs = {-HOUR_MS, -5_000, 5_000, HOUR_MS})
    void aStepOfTheWallClockMakesNoPurgeOlderThanItIs(long stepMs) throws Exception {
        assertThat(pollPurge(40)).as("the first one proves nothing").isZero();
        clock.passMs(200);
        assertThat(pollPurge(140)).as("before the step").isBetween(99_000L, 100_000L);
        clock.stepMs(stepMs);
        assertThat(pollPurge(140)).as("after the step").isBetween(99_000L, 100_000L);
        clock.passMs(700);
        assertThat(pollPurge(240)).as("after the step").isBetween(198_000L, 200_000L);
        clock.stepMs(-stepMs);
        assertThat(pollPurge(20)).as("after the step back, with a shorter delay than any before").isZero();
        assertThat(pollPurge(140)).isBetween(119_000L, 120_000L);
        clock.stepMs(-stepMs);
        assertThat(pollPurge(140)).as("after a step the other way").isBetween(119_000L, 120_000L);
    }

    /** A purge that arrives late, also after an outage of the channel, counts as made at its arrival. */
    @ParameterizedTest
    @ValueSource(longs = {-HOUR_MS, -5_000, 0, 5_000, HOUR_MS})
    void aStepOfTheWritersClockMakesNoPurgeOlderThanItIs(long stepMs) throws Exception {
        pollPurge(40);
        clock.passMs(8_000);
        poll(purge(clock.trueMs() + stepMs - 20));
        assertThat(agesUs.get(1)).isZero();
        clock.passMs(1_000);
        poll(purge(clock.trueMs() + stepMs - 50));
        assertThat(agesUs.get(2)).as("by the writer's new time").isBetween(stepMs == 0 ? 0L : 28_000L, 50_000L);
        poll(purge(clock.trueMs() - 3_000_000_000_000L));
        assertThat(agesUs.get(3)).as("junk").isZero();
    }

    /** The purge was made after the answer before, whatever its stamp says. */
    @Test
    void noPurgeIsOlderThanTheAnswerToThePollBefore() throws Exception {
        pollPurge(40);
        pollPurge(40);
        clock.passMs(30);
        poll(purge(clock.trueMs() - 400));
        assertThat(agesUs.get(2)).isEqualTo(30_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {-HOUR_MS, -5_000, 0, 5_000, HOUR_MS})
    void aStartSeenForTheFirstTimeIsAsOfNowWhateverTheWallClockSays(long stepMs) throws Exception {
        clock.passMs(1_000);
        clock.stepMs(stepMs);
        long startedMs = clock.trueMs() - 300;
        long startedUs = pollStart(startedMs);
        assertThat(startedUs).as("after the step").isEqualTo(clock.micros());
        clock.stepMs(-stepMs);
        clock.passMs(1_000);
        assertThat(pollStart(startedMs)).as("listed again after a step back").isEqualTo(startedUs);
        poll(listed(true, "ready", startedMs));
        assertThat(startsUs.get(2)).as("in a full list").isEqualTo(startedUs);
        poll(listed(false, "gone", startedMs));
        clock.stepMs(-stepMs);
        clock.passMs(60_000);
        poll(listed(true, "ready", startedMs));
        assertThat(startsUs.get(4)).as("listed as gone and again: the same start").isEqualTo(startedUs);
        clock.passMs(1_000);
        assertThat(pollStart(clock.trueMs() - 100)).as("the next start").isEqualTo(clock.micros());
        assertThat(pollStart(0)).as("long ago").isZero();
    }

    /** The configuration's purges: proven by their order alone, so the wall clock may be off by anything. */
    @ParameterizedTest
    @ValueSource(longs = {-HOUR_MS, -5_000, 0, 5_000, HOUR_MS})
    void thePurgesKnownAtTheStartAreAsOldAsLaterOnesProve(long wrongMs) throws Exception {
        clock.stepMs(wrongMs);
        processStarts();
        long nowMs = clock.trueMs();
        registry.applyInitial(
                commands(purge(nowMs - 60_000), purge(nowMs - 2_000), purge(nowMs - 1_200), purge(nowMs - 1_300),
                        purge(nowMs - 100)));
        assertThat(agesUs).containsExactly(2_800_000L, 1_800_000L, 1_000_000L, 1_000_000L, 0L);
    }

    /** An hour lies between them by the writer's clock, and a moment in truth. */
    @ParameterizedTest
    @ValueSource(longs = {-HOUR_MS, HOUR_MS})
    void ofAGapBetweenPurgesKnownAtTheStartASecondIsBelieved(long stepMs) throws Exception {
        processStarts();
        long nowMs = clock.trueMs();
        registry.applyInitial(commands(purge(nowMs - stepMs), purge(nowMs)));
        assertThat(agesUs.get(0)).isBetween(0L, 1_000_000L);
        assertThat(agesUs.get(1)).isZero();
    }

    private long startedBefore(long agoMs, String... events) throws Exception {
        processStarts();
        List<String> all = new ArrayList<>(List.of(events));
        all.add(listed(true, "ready", clock.trueMs() - agoMs));
        registry.applyInitial(commands(all.toArray(String[]::new)));
        return (clock.micros() - startsUs.get(0)) / 1000;
    }

    /** A fleet that is taken for just started gets next to nothing from a director that restarts. */
    @Test
    void withARightClockAMemberKnownAtTheStartIsAsOldAsItsStampLessTheMargin() throws Exception {
        assertThat(startedBefore(60_000)).isEqualTo(50_000);
        assertThat(startedBefore(1_700_000)).isEqualTo(1_690_000);
        assertThat(startedBefore(5_000)).isZero();
        assertThat(startedBefore(2 * HOUR_MS, purge(clock.trueMs() - 60_000))).isEqualTo(2 * HOUR_MS - 60_000);
        assertThat(startedBefore(60_000, purge(clock.trueMs()))).as("no margin is needed").isEqualTo(60_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {-HOUR_MS, -10_000, -5_000, 5_000, 10_000, HOUR_MS})
    void withAWrongClockNoMemberKnownAtTheStartIsOlderThanItIs(long wrongMs) throws Exception {
        clock.stepMs(wrongMs);
        for (long agoMs : new long[] {0, 3_000, 60_000}) {
            assertThat(startedBefore(agoMs)).isBetween(0L, agoMs);
            assertThat(startedBefore(agoMs, purge(clock.trueMs() - 1_000))).isBetween(0L, agoMs);
        }
    }

    /** The channel was out at the start: its first answer has earlier events, but the clock is that of the start. */
    @ParameterizedTest
    @ValueSource(longs = {-HOUR_MS, 0, HOUR_MS})
    void aStepAfterTheProcesssStartMakesNoMemberOfTheFirstAnswerOlder(long stepMs) throws Exception {
        processStarts();
        clock.passMs(20_000);
        clock.stepMs(stepMs);
        answeredUs = DiscoveryEvents.NEVER_ANSWERED_US;
        registry.apply(commands(listed(true, "ready", clock.trueMs() - 60_000), purge(clock.trueMs() - 500)));
        assertThat(startsUs).containsExactly(clock.micros() - 59_500_000);
        assertThat(agesUs).containsExactly(0L);
    }

    @ParameterizedTest
    @ValueSource(longs = {-HOUR_MS, -5_000, 5_000, HOUR_MS})
    void aReturnHereOrAtAnotherProcessIsAsOfNow(long stepMs) throws Exception {
        pollStart(0);
        registry.mergeOutages(Set.of(), Map.of());
        registry.takeOut("s-1");
        clock.stepMs(stepMs);
        long stampMs = clock.unixMillis();
        registry.putBack("s-1", stampMs);
        long backUs = clock.micros();
        assertThat(startsUs.get(startsUs.size() - 1)).isEqualTo(backUs);
        clock.passMs(100);
        clock.stepMs(-stepMs);
        registry.mergeOutages(Set.of(), Map.of("s-1", stampMs));
        assertThat(pollStart(0)).as("its own mark is no further return").isEqualTo(backUs);
        registry.mergeOutages(Set.of("s-1"), Map.of("s-1", stampMs));
        clock.passMs(100);
        registry.mergeOutages(Set.of(), Map.of("s-1", clock.unixMillis()));
        assertThat(startsUs.get(startsUs.size() - 1)).as("put back at the other process").isEqualTo(clock.micros());
    }

    @Test
    void aReturnMarkedBeforeTheProcessBeganIsBelievedWithinTheBound() throws Exception {
        pollStart(0);
        long nowMs = clock.trueMs();
        for (long[] agoAndToldMs : new long[][] {{60_000, 50_000}, {5_000, 0}, {HOUR_MS, 0}, {-HOUR_MS, 0}}) {
            processStarts();
            pollStart(0);
            registry.mergeOutages(Set.of(), Map.of("s-1", nowMs - agoAndToldMs[0]));
            assertThat(pollStart(0)).isEqualTo(clock.micros() - agoAndToldMs[1] * 1000);
        }
    }

    /** The shape of the fault as it was measured: a step forward made every purge an hour old. */
    @Test
    void afterAStepForwardByAnHourAPurgeIsNotAnHourOld() throws Exception {
        pollPurge(40);
        clock.stepMs(HOUR_MS);
        assertThat(pollPurge(40)).isLessThan(HOUR_US).isZero();
    }
}
