package clovermill.simulation.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.simulation.emulator.GossipFleet.Cut;
import clovermill.simulation.emulator.GossipFleet.GossipMetrics;
import clovermill.simulation.emulator.GossipFleet.Kill;
import clovermill.simulation.emulator.GossipFleet.Scenario;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks rate limits and the replicated map while links fail and directors crash; clocks differ by seconds. */
class GossipFleetTest {

    private static Scenario scenario(int directors, double loss, List<Cut> cuts, List<Kill> kills) {
        return new Scenario(directors, 1000, Math.max(1, directors / 10), 2, loss, 80, 45, cuts, kills);
    }

    private static GossipMetrics runAndCheck(Scenario scenario) {
        GossipMetrics metrics = GossipFleet.simulate(scenario, 11);
        assertThat(metrics.maxAdmittedPerSecond()).as("admitted in one second, %s", metrics)
                .isLessThanOrEqualTo(metrics.bound());
        assertThat(metrics.lostEntries()).as("entries that are missing somewhere, %s", metrics).isZero();
        assertThat(metrics.staleMs()).as("the longest time until an entry was replicated everywhere, %s", metrics)
                .isLessThanOrEqualTo(metrics.staleBoundMs());
        assertThat(metrics.excessWhileIsolated()).as("beyond its share while isolated, %s", metrics)
                .isLessThanOrEqualTo(1e-9);
        return metrics;
    }

    @Test
    void lendsUnusedSharesToBusyDirectors() {
        GossipMetrics metrics = runAndCheck(scenario(20, 0, List.of(), List.of()));
        assertThat(metrics.usedShare()).as("share of the limit used by two of 20 directors, which own a tenth")
                .isGreaterThan(0.5);
    }

    @Test
    void keepsLimitAndEntriesDuring30SecondPartition() {
        runAndCheck(scenario(20, 0, List.of(new Cut(5, 30, 0, 9)), List.of()));
    }

    @Test
    void isolatedDirectorAdmitsOnlyItsShare() {
        runAndCheck(scenario(20, 0.05, List.of(new Cut(8, 20, 0, 1)), List.of()));
    }

    @Test
    void keepsLimitAndEntriesWith30PercentMessageLoss() {
        runAndCheck(scenario(20, 0.3, List.of(), List.of()));
    }

    @Test
    void restartedDirectorAccountsForSharesItMayHaveLent() {
        runAndCheck(
                scenario(10, 0.1, List.of(), List.of(new Kill(10, 0.5, 0), new Kill(12, 0.1, 5), new Kill(20, 3, 7))));
    }

    @Test
    void keepsLimitAndEntriesWith100DirectorsLossPartitionAndCrash() {
        runAndCheck(scenario(100, 0.3, List.of(new Cut(5, 20, 0, 50)), List.of(new Kill(8, 1, 3))));
    }
}
