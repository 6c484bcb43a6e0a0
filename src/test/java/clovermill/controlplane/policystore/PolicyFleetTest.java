package clovermill.controlplane.policystore;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.simulation.emulator.policystore.PolicyFleet.PolicyMetrics;
import clovermill.simulation.emulator.policystore.PolicyFleet.Scenario;
import clovermill.simulation.emulator.policystore.PolicyFleet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests complete emulated fleets. With seeds 24 and 30 the fleet did not recover before (see {@code RaftReplica}). */
class PolicyFleetTest {

    private static final Scenario FAULTS = new Scenario(5, 3, 150, 3, 2, 0.01);

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 24, 30, 70, 225, 377})
    void fleetObeysOnePolicyAndConvergesDespiteFaults(long seed) {
        PolicyMetrics figures = PolicyFleet.simulate(FAULTS, seed);
        assertThat(figures.firstViolation()).isNull();
        assertThat(figures.violations()).isZero();
        assertThat(figures.agreed()).isTrue();
        assertThat(figures.completed()).isPositive();
        assertThat(figures.faults()).isGreaterThan(30);
    }

    @Test
    void runsWithTheSameSeedAreEqual() {
        assertThat(PolicyFleet.simulate(FAULTS, 9)).isEqualTo(PolicyFleet.simulate(FAULTS, 9));
        assertThat(PolicyFleet.simulate(FAULTS, 10).digest()).isNotEqualTo(PolicyFleet.simulate(FAULTS, 9).digest());
    }

    @Test
    void changeIsInForceEverywhereWithinTwoSecondsWithoutFaults() {
        PolicyMetrics figures = PolicyFleet.simulate(new Scenario(9, 5, 100, 4, 0, 0), 5);
        assertThat(figures.commitMs()).hasSizeGreaterThan(5).allMatch(ms -> ms <= 2000);
        assertThat(figures.maxLeaselessMs()).isZero();
    }
}
