package clovermill.routing.stats;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Sparse counts equal an array of counts, and those that have decayed take no memory. */
class DecayingCountsTest {

    private static final long INTERVAL_US = 10;
    private static final int INDEXES = 30;

    /** A sum of halved counts that were rounded to the smallest fraction stored. */
    private static final double ROUNDING = 2e-6;

    @Property(tries = 300)
    void equalArrayOfCounts(@ForAll @Size(max = 300) List<@IntRange(max = 100_000) Integer> steps) {
        DecayingCounts counts = new DecayingCounts(INTERVAL_US);
        double[] model = new double[INDEXES];
        long nowUs = 100;
        long halvedUs = 100;
        counts.advance(nowUs);
        for (int step : steps) {
            nowUs += step % 7;
            boolean halved = counts.advance(nowUs);
            assertThat(halved).isEqualTo(nowUs - halvedUs >= INTERVAL_US);
            for (; nowUs - halvedUs >= INTERVAL_US; halvedUs += INTERVAL_US) {
                for (int i = 0; i < INDEXES; i++) {
                    model[i] /= 2;
                }
            }
            int index = step / 7 % INDEXES;
            counts.increment(index);
            model[index]++;
            for (int i = 0; i < INDEXES; i++) {
                assertThat(counts.count(i)).isCloseTo(model[i], within(ROUNDING));
            }
        }
    }

    @Test
    void decayedCountsTakeNoMemory() {
        DecayingCounts counts = new DecayingCounts(INTERVAL_US);
        counts.advance(0);
        for (int index = 0; index < 1000; index++) {
            counts.increment(index);
        }
        counts.advance(10 * INTERVAL_US);
        assertThat(counts.count(7)).isEqualTo(1.0 / 1024);
        counts.advance(30 * INTERVAL_US);
        assertThat(counts.count(7)).isZero();
        assertThat(counts.bytes()).isZero();
    }

    @Test
    void longPauseHalvesToZero() {
        DecayingCounts counts = new DecayingCounts(INTERVAL_US);
        counts.advance(0);
        counts.increment(1);
        counts.advance(Long.MAX_VALUE / 2);
        assertThat(counts.count(1)).isZero();
    }
}
