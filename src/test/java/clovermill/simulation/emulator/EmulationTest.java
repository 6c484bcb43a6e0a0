package clovermill.simulation.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import clovermill.simulation.emulator.Plan.Fault;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks the combined behaviour of many directors in the emulator, and that the seed determines the run. */
class EmulationTest {

    @TempDir
    private Path folder;

    private static Plan loaded(int directors) {
        return new Plan(directors, 12, 600.0 / directors, 0.75, 1, 24, 8, 2000, 0.9, 500, 150, 0.5, "module",
                new Plan.Reports(500, 150, 0.1, 0.05), List.of());
    }

    private static void assertNoOverruns(Plan plan) throws Plan.InvalidPlanException {
        assertThat(Emulation.simulate(plan, 5).overruns()).isZero();
    }

    @Test
    void seedDeterminesRun() throws Plan.InvalidPlanException {
        Plan plan = loaded(20).with(new Fault("kill", 12, 2, 3, 0));
        FleetMetrics first = Emulation.simulate(plan, 5);
        assertThat(Emulation.simulate(plan, 5).seconds()).isEqualTo(first.seconds());
        assertThat(Emulation.simulate(plan, 6).seconds()).isNotEqualTo(first.seconds());
    }

    @Test
    void loadReportsBalanceBetterThanEstimatesAlone() throws Plan.InvalidPlanException {
        FleetMetrics reported = Emulation.simulate(loaded(60), 5);
        FleetMetrics guessed = Emulation.simulate(loaded(60).withChoice("guess"), 5);
        assertThat(reported.maxOverMean()).isLessThan(0.95 * guessed.maxOverMean());
        assertThat(reported.inTimeShare()).isGreaterThan(guessed.inTimeShare());
        assertThat(reported.idleSeconds()).isZero();
    }

    @Test
    void avoidsHerdingOnFrozenReports() throws Plan.InvalidPlanException {
        Plan frozen = loaded(60).with(new Fault("freeze", 10, 5, 0, 0));
        FleetMetrics leastLoaded = Emulation.simulate(frozen.withChoice("least"), 5);
        FleetMetrics production = Emulation.simulate(frozen, 5);
        assertThat(production.inTimeShare()).isGreaterThan(0.99).isGreaterThan(leastLoaded.inTimeShare());
        assertThat(production.p99Load()).isLessThan(leastLoaded.p99Load());
    }

    @Test
    void doesNotOverloadColdCacheWithManyDirectors() throws Plan.InvalidPlanException {
        Plan join = loaded(100).with(new Fault("join", 10, 0, 0, 0));
        assertThat(Emulation.simulate(join.withChoice("least"), 5).overruns()).as("overruns without slow start")
                .isPositive();
        assertNoOverruns(join);
        assertNoOverruns(join.withSkew(10));
        assertNoOverruns(join.with(new Fault("freeze", 9, 5, 0, 0)));
    }

    @Test
    void detectsSlowCacheFromResponsesDespiteNormalReports() throws Plan.InvalidPlanException {
        Plan slow = loaded(40).with(new Fault("slow", 10, 12, 3, 0.3));
        assertThat(Emulation.simulate(slow, 5).inTimeShare())
                .isGreaterThan(Emulation.simulate(slow.withChoice("two"), 5).inTimeShare());
    }

    @Test
    void rejectsInvalidPlanWithFieldAndReason() throws Exception {
        Path file = folder.resolve("plan.json");
        Files.writeString(file, "{\"directors\":10,\"faults\":[{\"kind\":\"flood\",\"at\":1}]}");
        assertThatThrownBy(() -> Plan.read(file)).hasMessage(
                "/faults/0/kind: flood is none of [freeze, mute, slow, join, leave, kill]");
        Files.writeString(file, "{\"directors\":-3}");
        assertThatThrownBy(() -> Plan.read(file)).hasMessageStartingWith("/directors: -3.0 is not between");
        Files.writeString(file, "{\"directrs\":3}");
        assertThatThrownBy(() -> Plan.read(file)).hasMessageStartingWith("/directrs: ");
        Files.writeString(file, "[]");
        assertThatThrownBy(() -> Plan.read(file)).hasMessage("/: an object was expected");
    }
}
