package clovermill.simulation.emulator.eventlog;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReachableQuorumTest {

    private static final int DIRECTOR = 9;

    /** Links are pairs of machines, in both directions; voters that are up are digits. */
    @ParameterizedTest
    @CsvSource({
        // director, voters, links, reachable
        "0123, 90 01 02 12, true",
        "0123, 90 91 92 93 01 02 03 12 13 23, true",
        "023, 90 02 03 23, true",
        "0123, 93 03 32, false",
        "023, 93 03 32, false",
        "0123, 90 01 12 23 30, false",
        "0123, 93 01 02 12, false",
        "0123, 93 30 01 02 12, false",
        "01, 90 01 02 12, false",
        "0123, 01 02 12, false"})
    void requiresThreePairwiseConnectedVoters(String voters, String links, boolean reachable) {
        List<String> pairs = Arrays.asList(links.split(" "));
        assertThat(
                ReachableQuorum.isReachable(DIRECTOR, voters.chars().map(Character::getNumericValue).boxed().toList(),
                        (one, other) -> pairs.contains("" + one + other) || pairs.contains("" + other + one)))
                .isEqualTo(reachable);
    }
}
