package clovermill.controlplane.gossip.decide;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** A limit on what the whole fleet has open, in permits that are lent for a term. */
class ConcurrencyLimitShareTest {

    private static final ConcurrencyLimitShare.Parameters PARAMETERS =
            new ConcurrencyLimitShare.Parameters(50, 4, 2_000_000, 0.01);
    private static final long LATER = 5_000_000;

    private static int opened(ConcurrencyLimitShare share, int asked, long nowUs, long untilUs) {
        int admitted = 0;
        for (int i = 0; i < asked; i++) {
            admitted += share.admit(nowUs, untilUs) ? 1 : 0;
        }
        return admitted;
    }

    @Test
    void permitsAreDividedToTheLastOne() {
        int all = 0;
        for (int i = 0; i < 4; i++) {
            all += opened(new ConcurrencyLimitShare(PARAMETERS, i, 0), 100, LATER, LATER + 1);
        }
        assertThat(all).isEqualTo(50);
        assertThat(opened(new ConcurrencyLimitShare(PARAMETERS, 0, 0), 100, 0, 1)).as("right after a start")
                .isEqualTo(3);
    }

    @Test
    void aBorrowedPermitAdmitsOnlyRequestsThatEndBeforeTheLoan() {
        ConcurrencyLimitShare share = new ConcurrencyLimitShare(PARAMETERS, 0, 0);
        opened(share, 100, LATER, LATER + 9_000_000);
        share.borrow(2, LATER, LATER + 1);
        assertThat(share.admit(LATER + 2, LATER + 2_000_001)).as("one that may last longer").isFalse();
        assertThat(share.admit(LATER + 2, LATER + 2_000_000)).isTrue();
        assertThat(share.shortfall(LATER + 2)).isPositive();
    }

    @Test
    void onlyFreePermitsAreLentAndReservedOnesNever() {
        ConcurrencyLimitShare share = new ConcurrencyLimitShare(PARAMETERS, 0, 0);
        opened(share, 4, LATER, LATER + 1);
        assertThat(share.lend(100, LATER)).as("13 of its own, 4 open").isEqualTo(9);
        assertThat(share.admit(LATER, LATER + 1)).isFalse();
        ConcurrencyLimitShare idle = new ConcurrencyLimitShare(PARAMETERS, 0, 0);
        assertThat(idle.lend(100, LATER)).as("3 it never lends").isEqualTo(10);
    }

    /** Requests of all lengths, loans that are lost or late, clocks that run apart. */
    @Property(tries = 200)
    void allTogetherNeverHaveMoreOpenThanTheLimit(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double[] pace = random.doubles(4, 0.995, 1.005).toArray();
        List<ConcurrencyLimitShare> all = new ArrayList<>();
        List<long[]> open = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            all.add(new ConcurrencyLimitShare(PARAMETERS, i, 0));
        }
        for (long now = 0; now < 15_000_000; now += 10_000) {
            for (int i = open.size() - 1; i >= 0; i--) {
                if (open.get(i)[1] <= now) {
                    all.get((int) open.remove(i)[0]).release();
                }
            }
            int one = random.nextInt(4);
            int other = random.nextInt(4);
            if (one != other && random.nextInt(5) == 0) {
                long askedUs = (long) ((now - random.nextInt(500_000)) * pace[other]);
                double given = all.get(one).lend(random.nextInt(12), (long) (now * pace[one]));
                if (random.nextInt(4) > 0) {
                    all.get(other).borrow(given, askedUs, (long) (now * pace[other]));
                }
            }
            // The first two are asked for much, the others for little; all within their time by their own clock.
            int to = random.nextInt(8) > 0 ? random.nextInt(2) : 2 + random.nextInt(2);
            long length = 1L + random.nextInt(3_000_000);
            long here = (long) (now * pace[to]);
            if (all.get(to).admit(here, here + length)) {
                open.add(new long[] {to, now + (long) (random.nextInt((int) length) / pace[to])});
            }
            assertThat(open.size()).as("at %d us", now).isLessThanOrEqualTo(50);
        }
    }
}
