package clovermill.controlplane.gossip.decide;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class RateLimitShareTest {

    private static final RateLimitShare.Parameters PARAMETERS =
            new RateLimitShare.Parameters(1000, 10, 0.1, 2_000_000, 0.01);
    private static final long SECOND_US = 1_000_000;

    /** Requests admission at a constant rate and returns the number of admitted requests. */
    private static int admitted(RateLimitShare share, double perSecond, long fromUs, long untilUs) {
        int admitted = 0;
        for (long nowUs = fromUs; nowUs < untilUs; nowUs += (long) (SECOND_US / perSecond)) {
            admitted += share.admit(nowUs) ? 1 : 0;
        }
        return admitted;
    }

    @Test
    void isolatedDirectorAdmitsOnlyItsShare() {
        RateLimitShare share = new RateLimitShare(PARAMETERS, 0);
        int first = admitted(share, 5000, 0, SECOND_US);
        assertThat(first).as("reserved part, right after the start").isBetween(18, 32);
        admitted(share, 5000, SECOND_US, 3 * SECOND_US);
        assertThat(admitted(share, 5000, 3 * SECOND_US, 4 * SECOND_US)).isBetween(98, 111);
    }

    @Test
    void lenderCountsALoanForLongerThanTheBorrowerUsesIt() {
        RateLimitShare lender = new RateLimitShare(PARAMETERS, 0);
        RateLimitShare borrower = new RateLimitShare(PARAMETERS, 0);
        long requestedUs = 5 * SECOND_US;
        long grantedUs = requestedUs + 300_000;
        double granted = lender.lend(60, grantedUs);
        assertThat(granted).isEqualTo(60);
        assertThat(lender.rate(grantedUs)).isCloseTo(40, within(1e-9));
        borrower.borrow(granted, requestedUs, grantedUs + 300_000);
        assertThat(borrower.rate(requestedUs + PARAMETERS.termUs() - 1)).isCloseTo(160, within(1e-9));
        assertThat(borrower.rate(requestedUs + PARAMETERS.termUs())).isCloseTo(100, within(1e-9));
        assertThat(lender.rate(grantedUs + PARAMETERS.termUs())).isCloseTo(40, within(1e-9));
        assertThat(lender.rate(grantedUs + PARAMETERS.lenderTermUs())).isCloseTo(100, within(1e-9));
    }

    @Test
    void ignoresALoanThatArrivesAfterItsTerm() {
        RateLimitShare borrower = new RateLimitShare(PARAMETERS, 0);
        borrower.borrow(60, 5 * SECOND_US, 5 * SECOND_US + PARAMETERS.termUs());
        assertThat(borrower.rate(5 * SECOND_US + PARAMETERS.termUs())).isCloseTo(100, within(1e-9));
    }

    @Test
    void lendsNothingUnderLoadOrRightAfterAStart() {
        RateLimitShare busy = new RateLimitShare(PARAMETERS, 0);
        admitted(busy, 500, 4 * SECOND_US, 6 * SECOND_US);
        assertThat(busy.lend(50, 6 * SECOND_US)).isZero();
        assertThat(busy.shortfall(6 * SECOND_US)).isGreaterThan(100);
        assertThat(new RateLimitShare(PARAMETERS, 7 * SECOND_US).lend(50, 8 * SECOND_US)).isZero();
    }

    @Test
    void neverLendsTheReservedPart() {
        RateLimitShare idle = new RateLimitShare(PARAMETERS, 0);
        double lent = 0;
        for (int i = 0; i < 1000; i++) {
            lent += idle.lend(1e9, 5 * SECOND_US) + idle.lend(1, 5 * SECOND_US) + idle.lend(-5, 5 * SECOND_US);
        }
        assertThat(lent).isLessThanOrEqualTo(80 + 1e-9);
        assertThat(idle.rate(5 * SECOND_US)).isGreaterThanOrEqualTo(20 - 1e-9);
    }

    /** Simulates lost and late loans, clocks that drift, and restarts at any time. */
    @Property(tries = 200)
    void sumOfAllSharesNeverExceedsTheLimit(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int n = 4;
        RateLimitShare.Parameters parameters = new RateLimitShare.Parameters(400, n, 0.1, 2_000_000, 0.01);
        double[] clockRates = random.doubles(n, 0.995, 1.005).toArray();
        List<RateLimitShare> shares = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            shares.add(new RateLimitShare(parameters, 0));
        }
        for (long nowUs = 0; nowUs < 20 * SECOND_US; nowUs += 10_000) {
            int lender = random.nextInt(n);
            int borrower = random.nextInt(n);
            long hereUs = (long) (nowUs * clockRates[lender]);
            if (lender != borrower && random.nextInt(4) == 0) {
                long requestedUs = (long) ((nowUs - random.nextInt(1_000_000)) * clockRates[borrower]);
                double granted = shares.get(lender).lend(random.nextDouble() * 200, hereUs);
                if (random.nextInt(3) > 0) {
                    shares.get(borrower).borrow(granted, requestedUs, (long) (nowUs * clockRates[borrower]));
                }
            } else if (random.nextInt(300) == 0) {
                shares.set(lender, new RateLimitShare(parameters, hereUs));
            }
            double sum = 0;
            for (int i = 0; i < n; i++) {
                sum += shares.get(i).rate((long) (nowUs * clockRates[i]));
            }
            assertThat(sum).as("at %d us", nowUs).isLessThanOrEqualTo(400 + 1e-6);
        }
    }
}
