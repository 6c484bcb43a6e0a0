package clovermill.controlplane.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class NextIndexSearchTest {

    private static final String FOLLOWER = "b";

    /** Counts the round trips until the last matching entry of a follower is found. */
    @Property
    void needsLogarithmicRoundTripsInTheNumberOfMissingEntries(@ForAll @IntRange(max = 100_000) int matching,
            @ForAll @IntRange(max = 100_000) int missing) {
        NextIndexSearch search = new NextIndexSearch();
        long nextIndex = matching + missing + 1L;
        int roundTrips = 0;
        while (nextIndex - 1 > matching) {
            long steps = search.stepsBack(FOLLOWER, 1, nextIndex);
            assertThat(steps).isBetween(1L, nextIndex - 1);
            nextIndex -= steps;
            roundTrips++;
        }
        assertThat(roundTrips).isLessThanOrEqualTo(1 + 32 - Integer.numberOfLeadingZeros(missing));
        assertThat(matching - (nextIndex - 1)).isLessThanOrEqualTo(missing);
    }

    @Test
    void stepsBackByOneForADuplicateOrLateFailure() {
        NextIndexSearch search = new NextIndexSearch();
        assertThat(search.stepsBack(FOLLOWER, 1, 100)).isEqualTo(1);
        assertThat(search.stepsBack(FOLLOWER, 1, 99)).isEqualTo(2);
        assertThat(search.stepsBack(FOLLOWER, 1, 99)).isEqualTo(1);
        assertThat(search.stepsBack(FOLLOWER, 1, 100)).isEqualTo(1);
        assertThat(search.stepsBack(FOLLOWER, 1, 97)).isEqualTo(4);
    }

    @Test
    void startsANewSearchAfterAMatchOrInAnotherTerm() {
        NextIndexSearch search = new NextIndexSearch();
        search.stepsBack(FOLLOWER, 1, 100);
        assertThat(search.stepsBack(FOLLOWER, 1, 99)).isEqualTo(2);
        search.matched(FOLLOWER);
        assertThat(search.stepsBack(FOLLOWER, 1, 90)).isEqualTo(1);
        assertThat(search.stepsBack(FOLLOWER, 1, 89)).isEqualTo(2);
        assertThat(search.stepsBack(FOLLOWER, 2, 80)).isEqualTo(1);
        assertThat(search.stepsBack("c", 2, 80)).isEqualTo(1);
    }
}
