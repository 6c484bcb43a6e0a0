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

/** The estimate of one director of the load of the other directors. */
class PeerLoadEstimatorTest {

    private static final long SECOND_US = 1_000_000;
    private final PeerLoadEstimator estimator = new PeerLoadEstimator();

    @Test
    void usesFallbackWithoutReports() {
        assertThat(estimator.hasReport()).isFalse();
        assertThat(estimator.peerLoad(3, 9, 5 * SECOND_US)).isEqualTo(9);
    }

    @Test
    void subtractsOwnTransfers() {
        estimator.recordReport(20, 0);
        assertThat(estimator.peerLoad(5, 99, 0)).isEqualTo(15);
        assertThat(estimator.peerLoad(30, 99, 0)).as("a report from before this director's burst").isZero();
    }

    @Test
    void burstOfDelayedReportsCountsAsOne() {
        estimator.recordReport(10, 0);
        for (int i = 0; i < 100; i++) {
            estimator.recordReport(0, 10_000); // delayed reports of an idle endpoint arrive at once
        }
        assertThat(estimator.peerLoad(0, 99, 10_000)).isGreaterThan(9);
    }

    @Test
    void movesToFallbackAsReportsAge() {
        estimator.recordReport(0, 0);
        assertThat(estimator.peerLoad(0, 40, SECOND_US)).isLessThan(15);
        assertThat(estimator.peerLoad(0, 40, 3 * SECOND_US)).isBetween(20.0, 30.0);
        assertThat(estimator.peerLoad(0, 40, 60 * SECOND_US)).isCloseTo(40, within(0.01));
    }

    @Test
    void resetDiscardsReports() {
        estimator.recordReport(50, 0);
        estimator.reset();
        assertThat(estimator.peerLoad(0, 2, 1)).isEqualTo(2);
        estimator.recordReport(4, 10);
        assertThat(estimator.peerLoad(0, 2, 10)).as("earlier reports are discarded").isEqualTo(4);
    }

    @Test
    void shedsExactlyTheExcess() {
        SplittableRandom random = new SplittableRandom(3);
        estimator.recordReport(40, 0);
        long shed = IntStream.range(0, 10_000).filter(i -> estimator.shouldShed(4, 0, random)).count();
        assertThat(shed).as("of 10,000 to an endpoint at four times its limit").isBetween(7_300L, 7_700L);
        assertThat(IntStream.range(0, 1000).filter(i -> estimator.shouldShed(1, 0, random)).count()).isZero();
    }

    @Test
    void shedsNothingWithoutRecentReports() {
        SplittableRandom random = new SplittableRandom(3);
        assertThat(estimator.shouldShed(50, 0, random)).isFalse();
        estimator.recordReport(40, 0);
        assertThat(IntStream.range(0, 1000).filter(i -> estimator.shouldShed(50, 30 * SECOND_US, random)).count())
                .isZero();
    }

    @Test
    void ignoresInvalidReports() {
        estimator.recordReport(Double.NaN, 0);
        estimator.recordReport(-1, 0);
        estimator.recordReport(Double.POSITIVE_INFINITY, 0);
        assertThat(estimator.hasReport()).isFalse();
    }

    @Property
    void estimateStaysWithinReportsAndFallback(
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
        double peerLoad = any.peerLoad(0, guess, now + (long) (later * SECOND_US));
        assertThat(peerLoad).isBetween(least - 1e-6, most + 1e-6);
    }
}
