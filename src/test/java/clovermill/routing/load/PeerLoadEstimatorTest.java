package clovermill.routing.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** What one director estimates of the load that the other directors make. */
class PeerLoadEstimatorTest {

    private static final long SECOND = 1_000_000;
    private final PeerLoadEstimator load = new PeerLoadEstimator();

    @Test
    void withoutReportsTheGuessStands() {
        assertThat(load.hasReport()).isFalse();
        assertThat(load.peerLoad(3, 9, 5 * SECOND)).isEqualTo(9);
    }

    @Test
    void ownWorkIsNotCountedTwice() {
        load.recordReport(20, 0);
        assertThat(load.peerLoad(5, 99, 0)).isEqualTo(15);
        assertThat(load.peerLoad(30, 99, 0)).as("a report from before this director's burst").isZero();
    }

    @Test
    void aHerdOfReportsAfterSilenceMovesNoMoreThanOneOfThem() {
        load.recordReport(10, 0);
        for (int i = 0; i < 100; i++) {
            load.recordReport(0, 10_000); // all that was held back arrives at once, each saying idle
        }
        assertThat(load.peerLoad(0, 99, 10_000)).isGreaterThan(9);
    }

    @Test
    void reportsThatStopGiveWayToTheGuess() {
        load.recordReport(0, 0);
        assertThat(load.peerLoad(0, 40, SECOND)).isLessThan(15);
        assertThat(load.peerLoad(0, 40, 3 * SECOND)).isBetween(20.0, 30.0);
        assertThat(load.peerLoad(0, 40, 60 * SECOND)).isCloseTo(40, within(0.01));
    }

    @Test
    void aStartVoidsWhatWasReported() {
        load.recordReport(50, 0);
        load.reset();
        assertThat(load.peerLoad(0, 2, 1)).isEqualTo(2);
        load.recordReport(4, 10);
        assertThat(load.peerLoad(0, 2, 10)).as("nothing of before is left in it").isEqualTo(4);
    }

    @Test
    void directorsTogetherShedTheExcessAndNoMore() {
        SplittableRandom random = new SplittableRandom(3);
        load.recordReport(40, 0);
        long gone = IntStream.range(0, 10_000).filter(i -> load.shouldShed(4, 0, random)).count();
        assertThat(gone).as("of 10,000 to one that holds four times its room").isBetween(7_300L, 7_700L);
        assertThat(IntStream.range(0, 1000).filter(i -> load.shouldShed(1, 0, random)).count()).isZero();
    }

    @Test
    void nothingIsShedOnAGuessNorOnReportsOfLongAgo() {
        SplittableRandom random = new SplittableRandom(3);
        assertThat(load.shouldShed(50, 0, random)).isFalse();
        load.recordReport(40, 0);
        assertThat(IntStream.range(0, 1000).filter(i -> load.shouldShed(50, 30 * SECOND, random)).count()).isZero();
    }

    @Test
    void whatIsNoCountIsPassedOver() {
        load.recordReport(Double.NaN, 0);
        load.recordReport(-1, 0);
        load.recordReport(Double.POSITIVE_INFINITY, 0);
        assertThat(load.hasReport()).isFalse();
    }

    @Property
    void theBeliefStaysWithinWhatWasToldAndGuessed(
            @ForAll @Size(min = 1, max = 30) List<@DoubleRange(min = 0, max = 1000) Double> reports,
            @ForAll @DoubleRange(min = 0, max = 1000) double guess,
            @ForAll @DoubleRange(min = 0, max = 10) double later) {
        PeerLoadEstimator any = new PeerLoadEstimator();
        long now = 0;
        for (double each : reports) {
            any.recordReport(each, now);
            now += 137_000;
        }
        double most = Math.max(guess, reports.stream().mapToDouble(d -> d).max().orElse(0));
        double least = Math.min(guess, reports.stream().mapToDouble(d -> d).min().orElse(0));
        double peerLoad = any.peerLoad(0, guess, now + (long) (later * SECOND));
        assertThat(peerLoad).isBetween(least - 1e-6, most + 1e-6);
    }
}
