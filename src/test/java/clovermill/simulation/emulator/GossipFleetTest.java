package clovermill.simulation.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.simulation.emulator.GossipFleet.Cut;
import clovermill.simulation.emulator.GossipFleet.GossipMetrics;
import clovermill.simulation.emulator.GossipFleet.Kill;
import clovermill.simulation.emulator.GossipFleet.Scenario;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Limits and the replicated map of a whole fleet while links fail and directors die; all clocks are seconds apart. */
class GossipFleetTest {

    private static Scenario of(int directors, double loss, List<Cut> cuts, List<Kill> kills) {
        return new Scenario(directors, 1000, Math.max(1, directors / 10), 2, loss, 80, 45, cuts, kills);
    }

    private static GossipMetrics holds(Scenario plan) {
        GossipMetrics seen = GossipFleet.play(plan, 11);
        assertThat(seen.maxAdmittedPerSecond()).as("admitted in one second, %s", seen)
                .isLessThanOrEqualTo(seen.bound());
        assertThat(seen.lostEntries()).as("entries that are missing somewhere, %s", seen).isZero();
        assertThat(seen.staleMs()).as("the longest until an entry was everywhere, %s", seen)
                .isLessThanOrEqualTo(seen.staleBoundMs());
        assertThat(seen.excessWhileIsolated()).as("beyond its share while alone, %s", seen).isLessThanOrEqualTo(1e-9);
        return seen;
    }

    @Test
    void unusedSharesAreLentToWhoeverIsAskedForMore() {
        GossipMetrics seen = holds(of(20, 0, List.of(), List.of()));
        assertThat(seen.usedShare()).as("of the limit by two of 20, who own a tenth").isGreaterThan(0.5);
    }

    @Test
    void theLimitHoldsThroughAPartitionOf30SecondsAndEntriesOfBothSidesSurviveIt() {
        holds(of(20, 0, List.of(new Cut(5, 30, 0, 9)), List.of()));
    }

    @Test
    void oneThatIsCutOffAloneAdmitsItsShare() {
        holds(of(20, 0.05, List.of(new Cut(8, 20, 0, 1)), List.of()));
    }

    @Test
    void threeInTenMessagesLost() {
        holds(of(20, 0.3, List.of(), List.of()));
    }

    @Test
    void oneThatIsKilledMidLeaseAndStartsAnewKnowsWhatItMayHaveLent() {
        holds(of(10, 0.1, List.of(), List.of(new Kill(10, 0.5, 0), new Kill(12, 0.1, 5), new Kill(20, 3, 7))));
    }

    @Test
    void aHundredDirectorsThroughAllOfIt() {
        holds(of(100, 0.3, List.of(new Cut(5, 20, 0, 50)), List.of(new Kill(8, 1, 3))));
    }
}
