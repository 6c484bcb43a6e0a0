package clovermill.controlplane.eventlog;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.simulation.emulator.eventlog.EventLogFleet;
import clovermill.simulation.emulator.eventlog.FleetMetrics;
import clovermill.simulation.emulator.eventlog.FleetSize;
import clovermill.simulation.emulator.eventlog.Scenario;
import clovermill.simulation.emulator.eventlog.Traffic;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs fleets of the event log on emulated links and machines, with random faults and with chosen hard cases. */
class EventLogFleetTest {

    private static final long SECOND = 1_000_000;
    private static final FleetSize SMALL = new FleetSize(8, 2500, 150, 0.01, 40_000);
    private static final double RATE = 9.1;

    private static EventLogFleet fleet(FleetSize size) {
        EventLogFleet fleet = new EventLogFleet(size, 3);
        fleet.run(5 * SECOND);
        assertThat(fleet.leader()).isNotNegative();
        return fleet;
    }

    private static void finishAndAssertNoViolations(EventLogFleet fleet) {
        fleet.finish();
        FleetMetrics figures = fleet.metrics();
        assertThat(figures.firstViolation()).isNull();
        assertThat(figures.passes()).isTrue();
        assertThat(figures.events()).isPositive();
    }

    private static void assertAllProvenAt(EventLogFleet fleet, long untilUs, int directors) {
        fleet.run(untilUs);
        assertThat(IntStream.range(0, directors).filter(each -> !fleet.proven(each)).boxed().toList()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void losesNoEventAndKeepsOrderAndFreshnessUnderRandomFaults(long seed) {
        FleetMetrics figures = EventLogFleet.simulate(new Scenario(SMALL, 100, RATE, 2), seed);
        assertThat(figures.firstViolation()).isNull();
        assertThat(figures.passes()).isTrue();
        assertThat(figures.events()).isGreaterThan(300);
        assertThat(figures.faults()).isGreaterThan(20);
    }

    /** Retention drops an event, and an older one of its subject is appended: both must be applied. */
    @Test
    void appliesAnEventOlderThanADroppedOneOfItsSubject() {
        assertNoViolations(74, 87);
    }

    /**
     * Guards against an election livelock. For up to 13 s the replicas elected and deposed a leader ten times a second,
     * so events were late at reachable directors: each rejected pre-vote raised the term of a replica with a short log,
     * from 178 to 280 in 11 s, with 1% loss and no link cut (docs/incidents/election-livelock.md).
     */
    @Test
    void seedsWithLateEvents() {
        assertNoViolations(26, 45, 123, 125);
    }

    /**
     * In these seeds, eight of 1,000, all links lose 40% of datagrams and delay by up to 0.2 s each way while there is
     * no leader. An election takes two round trips to two other replicas, and none succeeds for 7 s. The first four
     * seeds are not among the eight: they were late in an earlier draw. See KNOWN-RED.txt.
     */
    @Test
    void seedsWithLateEventsOverLinksThatLoseTwoInFive() {
        assertNoViolations(88, 475, 534, 793, 225, 246, 267, 742, 805, 806, 912, 937);
    }

    private static void assertNoViolations(long... seeds) {
        for (long seed : seeds) {
            FleetMetrics figures = EventLogFleet.simulate(new Scenario(SMALL, 100, RATE, 2), seed);
            assertThat(figures.firstViolation()).as("seed %s", seed).isNull();
            assertThat(figures.passes()).isTrue();
        }
    }

    @Test
    void runsWithTheSameSeedAreIdentical() {
        Scenario scenario = new Scenario(SMALL, 60, RATE, 2);
        assertThat(EventLogFleet.simulate(scenario, 9)).isEqualTo(EventLogFleet.simulate(scenario, 9));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 8})
    void recoversFromAReplicaKilledWhileItSendsABatch(int sent) {
        EventLogFleet fleet = fleet(SMALL);
        fleet.appendEvenly(40, 20 * SECOND);
        fleet.run(10 * SECOND);
        fleet.crashAfterSending(1, sent);
        assertAllProvenAt(fleet, 30 * SECOND, 8);
        finishAndAssertNoViolations(fleet);
    }

    @Test
    void failsOverFromAReplicaPausedForLongerThanTheLease() {
        EventLogFleet fleet = fleet(SMALL);
        fleet.appendEvenly(RATE, 40 * SECOND);
        fleet.run(10 * SECOND);
        int director = IntStream.range(0, 8).filter(each -> follows(fleet, each) != fleet.leader()).findFirst()
                .orElseThrow();
        int paused = follows(fleet, director);
        fleet.pause(paused, 3 * EventLogFleet.STALENESS_US);
        fleet.run(13 * SECOND);
        assertThat(follows(fleet, director)).isNotEqualTo(paused);
        for (long at = 14; at < 40; at++) { // includes the resumption of the paused one, with its old answers
            assertAllProvenAt(fleet, at * SECOND, 8);
        }
        finishAndAssertNoViolations(fleet);
    }

    private static int follows(EventLogFleet fleet, int director) {
        return fleet.task(EventLogFleet.machine(director)).followedReplica();
    }

    @Test
    void directorsOfAMinorityPartitionAreUnprovenAlthoughItsReplicasAnswer() {
        EventLogFleet fleet = fleet(SMALL);
        fleet.appendEvenly(RATE, 30 * SECOND);
        fleet.run(10 * SECOND);
        int leader = fleet.leader();
        List<Integer> minority =
                new ArrayList<>(IntStream.range(0, EventLogFleet.REPLICAS).filter(each -> each != leader)
                        .limit(2).boxed().toList());
        IntStream.range(0, 4).forEach(each -> minority.add(EventLogFleet.machine(each)));
        fleet.isolate(minority, true);
        Traffic before = fleet.traffic(EventLogFleet.machine(0));
        fleet.run(10 * SECOND + EventLogFleet.STALENESS_US);
        long answers = fleet.traffic(EventLogFleet.machine(0)).since(before).datagramsIn();
        assertThat(answers).isGreaterThan(5);
        for (long at = 16; at < 25; at++) {
            fleet.run(at * SECOND);
            for (int director = 0; director < 8; director++) {
                assertThat(fleet.proven(director)).as("director %s at %s", director, at).isEqualTo(director >= 4);
            }
        }
        fleet.isolate(minority, false);
        assertAllProvenAt(fleet, 35 * SECOND, 8);
        finishAndAssertNoViolations(fleet);
    }

    /** Stands for an hour of 9.1 events per second (32,760): one minute, with a retention of a third of its events. */
    @Test
    void reconnectsADirectorAfterALongCutWhileAllOthersRestart() {
        int directors = 540;
        EventLogFleet fleet = fleet(new FleetSize(directors, 4000, 2000, 0.01, 40_000));
        fleet.appendEvenly(RATE, 75 * SECOND);
        int cut = EventLogFleet.machine(0);
        fleet.isolate(List.of(cut), true);
        fleet.run(65 * SECOND);
        assertThat(fleet.proven(0)).isFalse();
        fleet.isolate(List.of(cut), false);
        Traffic[] before = new Traffic[directors];
        for (int each = 0; each < directors; each++) {
            if (each > 0) {
                fleet.kill(EventLogFleet.machine(each));
                fleet.start(EventLogFleet.machine(each));
            }
            before[each] = fleet.traffic(EventLogFleet.machine(each));
        }
        fleet.run(75 * SECOND);
        for (int each = 0; each < directors; each++) {
            Traffic used = fleet.traffic(EventLogFleet.machine(each)).since(before[each]);
            assertThat(used.bytesIn()).isLessThanOrEqualTo(10 * 9000);
            assertThat(used.bytesOut()).isLessThanOrEqualTo(10 * 9000);
        }
        assertAllProvenAt(fleet, 76 * SECOND, directors);
        assertThat(fleet.task(cut).followerCounts().truncations()).isEqualTo(1);
        finishAndAssertNoViolations(fleet);
    }

    @Test
    void aDirectorThatRestartsDuringCatchUpBecomesProven() {
        EventLogFleet fleet = fleet(new FleetSize(4, 200_000, 100_000, 0.01, 40_000));
        int machine = EventLogFleet.machine(0);
        fleet.isolate(List.of(machine), true);
        for (long at = 5; at < 25; at++) {
            fleet.at(at * SECOND, () -> IntStream.range(1, 4).forEach(each -> fleet.append(each, 30)));
        }
        fleet.run(25 * SECOND);
        fleet.isolate(List.of(machine), false);
        fleet.run(27 * SECOND);
        long position = fleet.task(machine).position();
        assertThat(position).isBetween(1L, 1500L);
        assertThat(fleet.proven(0)).isFalse();
        fleet.kill(machine);
        fleet.start(machine);
        assertThat(fleet.task(machine).position()).isZero();
        assertAllProvenAt(fleet, 50 * SECOND, 4);
        assertThat(fleet.task(machine).position()).isGreaterThan(position);
        finishAndAssertNoViolations(fleet);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5})
    void recoversFromACrashWhileASnapshotIsWritten(int chunk) {
        EventLogFleet fleet = fleet(SMALL);
        fleet.appendEvenly(40, 30 * SECOND);
        fleet.run(10 * SECOND);
        fleet.crashAtSnapshotChunk(2, chunk);
        fleet.run(15 * SECOND);
        assertThat(fleet.metrics().tornSnapshots()).isEqualTo(1);
        fleet.start(2);
        assertAllProvenAt(fleet, 35 * SECOND, 8);
        assertThat(fleet.task(2).log()).isEqualTo(fleet.task(1).log());
        finishAndAssertNoViolations(fleet);
    }

    @Test
    void appendsOneEventForACallRetriedWithoutAnswer() {
        EventLogFleet fleet = fleet(SMALL);
        int machine = EventLogFleet.machine(0);
        fleet.append(0, 1);
        fleet.run(8 * SECOND);
        assertThat(fleet.task(0).log().head()).isEqualTo(1);
        IntStream.range(0, EventLogFleet.REPLICAS).forEach(each -> fleet.cut(each, machine, true));
        fleet.append(0, 1);
        fleet.run(15 * SECOND);
        assertThat(fleet.metrics().events()).isEqualTo(1); // the client got no answer
        assertThat(fleet.task(fleet.leader()).log().head()).isEqualTo(2); // and has retried about twenty times
        IntStream.range(0, EventLogFleet.REPLICAS).forEach(each -> fleet.cut(each, machine, false));
        assertAllProvenAt(fleet, 20 * SECOND, 8);
        assertThat(fleet.metrics().events()).isEqualTo(2);
        assertThat(fleet.task(fleet.leader()).log().head()).isEqualTo(2);
        finishAndAssertNoViolations(fleet);
    }

    private record CapturedDatagram(int from, int to, byte[] bytes) {}

    @Test
    void rejectsForgedAndReplayedDatagrams() {
        EventLogFleet fleet = fleet(SMALL);
        List<CapturedDatagram> captured = new ArrayList<>();
        fleet.observeDatagrams((from, to, bytes) -> captured.add(new CapturedDatagram(from, to, bytes)));
        fleet.appendEvenly(RATE, 15 * SECOND);
        fleet.run(15 * SECOND);
        fleet.observeDatagrams((from, to, bytes) -> {});
        fleet.run(20 * SECOND);
        long head = fleet.task(0).log().head();
        fleet.kill(EventLogFleet.machine(1)); // its replay window is empty after the restart
        fleet.start(EventLogFleet.machine(1));
        Random random = new Random(5);
        for (CapturedDatagram each : captured) {
            byte[] forged = each.bytes().clone();
            forged[random.nextInt(forged.length)] ^= (byte) (1 << random.nextInt(8));
            fleet.at(fleet.nowUs() + random.nextInt(3_000_000), () -> fleet.send(each.from(), each.to(), forged));
            fleet.at(fleet.nowUs() + random.nextInt(3_000_000), () -> fleet.send(each.from(), each.to(),
                    each.bytes()));
        }
        assertAllProvenAt(fleet, 30 * SECOND, 8);
        assertThat(IntStream.range(0, 12).mapToLong(each -> fleet.task(each).rejectedDatagrams()).sum())
                .isGreaterThan(captured.size());
        assertThat(fleet.task(0).log().head()).isEqualTo(head);
        finishAndAssertNoViolations(fleet);
    }

    @Test
    void aSlowDirectorFallsBehindWithoutDelayingOthers() {
        assertOthersStayProvenBesideASlowDirector(20);
    }

    /**
     * Runs at eleven times the target rate. Directors 2, 6 and 7 were unproven from 13 s on: the replica that they
     * followed was stuck at event 222 of 564 and still sent proofs of the leader's head (552), so they did not fail
     * over (docs/incidents/proof-without-events.md).
     */
    @Test
    void aSlowDirectorDoesNotDelayOthersAt100EventsPerSecond() {
        assertOthersStayProvenBesideASlowDirector(100);
    }

    private void assertOthersStayProvenBesideASlowDirector(int eventsPerSecond) {
        EventLogFleet fleet = fleet(new FleetSize(8, 20_000, 100_000, 0.01, 40_000));
        fleet.appendEvenly(eventsPerSecond, 40 * SECOND);
        int slow = EventLogFleet.machine(0);
        for (long at = 6; at < 30; at++) { // it runs for a tenth of a second in every four seconds
            long pauseUs = at % 4 == 0 ? 3_900_000 : 0;
            if (pauseUs > 0) {
                fleet.at(at * SECOND, () -> fleet.pause(slow, pauseUs));
            }
        }
        for (long at = 8; at < 40; at++) {
            fleet.run(at * SECOND);
            for (int director = 1; director < 8; director++) {
                assertThat(fleet.proven(director)).isTrue();
            }
        }
        long fellBehind = IntStream.range(0, EventLogFleet.REPLICAS)
                .mapToLong(each -> fleet.task(each).feedCounts().fellBehind()).sum();
        assertThat(fellBehind).isPositive();
        assertAllProvenAt(fleet, 50 * SECOND, 8);
        finishAndAssertNoViolations(fleet);
    }

    /** Runs with other losses and delays: 8 of 24 seeds had unproven directors, 17 and 19 for the longest time. */
    @ParameterizedTest
    @ValueSource(longs = {17, 19, 20, 42, 47})
    void directorsStayProvenWithLostDatagramsAt100EventsPerSecond(long seed) {
        EventLogFleet fleet = new EventLogFleet(new FleetSize(8, 20_000, 100_000, 0.01, 40_000), seed);
        fleet.run(5 * SECOND);
        fleet.appendEvenly(100, 40 * SECOND);
        for (long at = 8; at <= 45; at++) {
            assertAllProvenAt(fleet, at * SECOND, 8);
        }
        finishAndAssertNoViolations(fleet);
        assertThat(fleet.metrics().maxDeliveryMs()).isLessThan(7_100);
    }

    /**
     * Two of the four replicas were stuck at events 222 and 339 from 8 s on while 3,000 more were appended. A snapshot
     * was taken every 60 Raft entries (0.6 s). Its transfer, at one chunk of 14 entries per round trip, took 1.3 s (27
     * chunks, 45 ms each) and restarted with each newer snapshot.
     */
    @Test
    void aReplicaThatLostADatagramCatchesUpAt100EventsPerSecond() {
        EventLogFleet fleet = fleet(new FleetSize(8, 20_000, 100_000, 0.01, 40_000));
        fleet.appendEvenly(100, 40 * SECOND);
        for (long at = 8; at <= 40; at++) {
            fleet.run(at * SECOND);
            long head = fleet.task(fleet.leader()).log().head();
            for (int replica = 0; replica < EventLogFleet.REPLICAS; replica++) {
                assertThat(fleet.task(replica).log().head()).as("replica %s at %s s", replica, at)
                        .isGreaterThan(head - 7 * 100);
            }
        }
        fleet.run(45 * SECOND); // clients still append their queued events
        finishAndAssertNoViolations(fleet);
    }

    @Test
    void trafficOfADirectorIsBelowNineKilobytesPerSecondAndIndependentOfTheFleetSize() {
        long[] in = new long[2];
        int[] sizes = {20, 60};
        for (int i = 0; i < 2; i++) {
            EventLogFleet fleet = fleet(new FleetSize(sizes[i], 50_000, 100_000, 0.01, 40_000));
            fleet.appendEvenly(RATE, 30 * SECOND);
            fleet.run(10 * SECOND);
            Traffic before = fleet.traffic(EventLogFleet.machine(3));
            fleet.run(30 * SECOND);
            Traffic used = fleet.traffic(EventLogFleet.machine(3)).since(before);
            in[i] = used.bytesIn() / 20;
            assertThat(used.bytesIn() / 20).isLessThan(9000);
            assertThat(used.bytesOut() / 20).isLessThan(9000);
            finishAndAssertNoViolations(fleet);
        }
        assertThat(in[1]).isBetween(in[0] * 8 / 10, in[0] * 12 / 10);
    }
}
