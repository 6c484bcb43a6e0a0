package clovermill.controlplane.policystore;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.simulation.emulator.policystore.PolicyFleet.Case;
import clovermill.simulation.emulator.policystore.PolicyFleet.Figures;
import clovermill.simulation.emulator.policystore.PolicyFleet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Whole fleets on the emulated world; the seeds 24 and 30 once never recovered (see {@code RaftReplica}). */
class PolicyFleetTest {

    private static final Case FAULTS = new Case(5, 3, 150, 3, 2, 0.01);

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 24, 30, 70, 225, 377})
    void givenFaultsThenOnePolicyIsObeyedAndTheFleetConverges(long seed) {
        Figures figures = PolicyFleet.play(FAULTS, seed);
        assertThat(figures.firstViolation()).isNull();
        assertThat(figures.violations()).isZero();
        assertThat(figures.agreed()).isTrue();
        assertThat(figures.completed()).isPositive();
        assertThat(figures.faults()).isGreaterThan(30);
    }

    @Test
    void givenOneSeedThenTwoRunsAreEqual() {
        assertThat(PolicyFleet.play(FAULTS, 9)).isEqualTo(PolicyFleet.play(FAULTS, 9));
        assertThat(PolicyFleet.play(FAULTS, 10).digest()).isNotEqualTo(PolicyFleet.play(FAULTS, 9).digest());
    }

    @Test
    void withoutFaultsThenAChangeIsInForceEverywhereWithinTwoSeconds() {
        Figures figures = PolicyFleet.play(new Case(9, 5, 100, 4, 0, 0), 5);
        assertThat(figures.commitMs()).hasSizeGreaterThan(5).allMatch(ms -> ms <= 2000);
        assertThat(figures.maxLeaselessMs()).isZero();
    }
}
