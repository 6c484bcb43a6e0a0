package clovermill.controlplane.gossip.decide;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ConcurrencyLimitShareTest {

    private static final ConcurrencyLimitShare.Parameters PARAMETERS =
            new ConcurrencyLimitShare.Parameters(50, 4, 2_000_000, 0.01);
    /** A time at which loans of an earlier process have expired. */
    private static final long LATER_US = 5_000_000;

    private static int admitted(ConcurrencyLimitShare share, int requests, long nowUs, long untilUs) {
        int admitted = 0;
        for (int i = 0; i < requests; i++) {
            admitted += share.admit(nowUs, untilUs) ? 1 : 0;
        }
        return admitted;
    }

    @Test
    void dividesAllPermitsAmongDirectors() {
        int sum = 0;
        for (int i = 0; i < 4; i++) {
            sum += admitted(new ConcurrencyLimitShare(PARAMETERS, i, 0), 100, LATER_US, LATER_US + 1);
        }
        assertThat(sum).isEqualTo(50);
        assertThat(admitted(new ConcurrencyLimitShare(PARAMETERS, 0, 0), 100, 0, 1)).as("right after a start")
                .isEqualTo(3);
    }

    @Test
    void borrowedPermitsAdmitOnlyRequestsThatCompleteBeforeTheLoanExpires() {
        ConcurrencyLimitShare share = new ConcurrencyLimitShare(PARAMETERS, 0, 0);
        admitted(share, 100, LATER_US, LATER_US + 9_000_000);
        share.borrow(2, LATER_US, LATER_US + 1);
        assertThat(share.admit(LATER_US + 2, LATER_US + 2_000_001)).as("request that may outlast the loan").isFalse();
        assertThat(share.admit(LATER_US + 2, LATER_US + 2_000_000)).isTrue();
        assertThat(share.shortfall(LATER_US + 2)).isPositive();
    }

    @Test
    void lendsOnlyFreePermitsThatAreNotReserved() {
        ConcurrencyLimitShare share = new ConcurrencyLimitShare(PARAMETERS, 0, 0);
        admitted(share, 4, LATER_US, LATER_US + 1);
        assertThat(share.lend(100, LATER_US)).as("13 own permits, 4 of them in use").isEqualTo(9);
        assertThat(share.admit(LATER_US, LATER_US + 1)).isFalse();
        ConcurrencyLimitShare idle = new ConcurrencyLimitShare(PARAMETERS, 0, 0);
        assertThat(idle.lend(100, LATER_US)).as("3 permits are reserved").isEqualTo(10);
    }

    /** Simulates requests of all durations, lost and late loans, and clocks that drift. */
    @Property(tries = 200)
    void allDirectorsTogetherNeverExceedTheLimit(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double[] clockRates = random.doubles(4, 0.995, 1.005).toArray();
        List<ConcurrencyLimitShare> shares = new ArrayList<>();
        List<long[]> open = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            shares.add(new ConcurrencyLimitShare(PARAMETERS, i, 0));
        }
        for (long nowUs = 0; nowUs < 15_000_000; nowUs += 10_000) {
            for (int i = open.size() - 1; i >= 0; i--) {
                if (open.get(i)[1] <= nowUs) {
                    shares.get((int) open.remove(i)[0]).release();
                }
            }
            int lender = random.nextInt(4);
            int borrower = random.nextInt(4);
            if (lender != borrower && random.nextInt(5) == 0) {
                long requestedUs = (long) ((nowUs - random.nextInt(500_000)) * clockRates[borrower]);
                double granted = shares.get(lender).lend(random.nextInt(12), (long) (nowUs * clockRates[lender]));
                if (random.nextInt(4) > 0) {
                    shares.get(borrower).borrow(granted, requestedUs, (long) (nowUs * clockRates[borrower]));
                }
            }
            // Most requests arrive at the first two directors; each completes before its timeout by the local clock.
            int target = random.nextInt(8) > 0 ? random.nextInt(2) : 2 + random.nextInt(2);
            long timeoutUs = 1L + random.nextInt(3_000_000);
            long hereUs = (long) (nowUs * clockRates[target]);
            if (shares.get(target).admit(hereUs, hereUs + timeoutUs)) {
                open.add(new long[] {target, nowUs + (long) (random.nextInt((int) timeoutUs) / clockRates[target])});
            }
            assertThat(open.size()).as("at %d us", nowUs).isLessThanOrEqualTo(50);
        }
    }
}
