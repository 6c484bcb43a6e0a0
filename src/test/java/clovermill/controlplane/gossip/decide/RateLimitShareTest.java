package clovermill.controlplane.gossip.decide;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** A limit on the fleet, in shares that are lent for a term. */
class RateLimitShareTest {

    private static final RateLimitShare.Parameters PARAMETERS =
            new RateLimitShare.Parameters(1000, 10, 0.1, 2_000_000, 0.01);
    private static final long SECOND = 1_000_000;

    /** Asked for so much by second from a time to another; how many were admitted. */
    private static int asked(RateLimitShare rate, double perSecond, long fromUs, long untilUs) {
        int admitted = 0;
        for (long now = fromUs; now < untilUs; now += (long) (SECOND / perSecond)) {
            admitted += rate.admit(now) ? 1 : 0;
        }
        return admitted;
    }

    @Test
    void aDirectorThatIsCutOffAdmitsItsShareAndNoMore() {
        RateLimitShare rate = new RateLimitShare(PARAMETERS, 0);
        int first = asked(rate, 5000, 0, SECOND);
        assertThat(first).as("right after its start, what it never lends").isBetween(18, 32);
        asked(rate, 5000, SECOND, 3 * SECOND);
        assertThat(asked(rate, 5000, 3 * SECOND, 4 * SECOND)).isBetween(98, 111);
    }

    @Test
    void aLenderCountsALoanForLongerThanTheBorrowerUsesIt() {
        RateLimitShare lender = new RateLimitShare(PARAMETERS, 0);
        RateLimitShare borrower = new RateLimitShare(PARAMETERS, 0);
        long askedUs = 5 * SECOND;
        long gaveUs = askedUs + 300_000;
        double given = lender.lend(60, gaveUs);
        assertThat(given).isEqualTo(60);
        assertThat(lender.rate(gaveUs)).isCloseTo(40, within(1e-9));
        borrower.borrow(given, askedUs, gaveUs + 300_000);
        assertThat(borrower.rate(askedUs + PARAMETERS.termUs() - 1)).isCloseTo(160, within(1e-9));
        assertThat(borrower.rate(askedUs + PARAMETERS.termUs())).isCloseTo(100, within(1e-9));
        assertThat(lender.rate(gaveUs + PARAMETERS.termUs())).isCloseTo(40, within(1e-9));
        assertThat(lender.rate(gaveUs + PARAMETERS.lenderTermUs())).isCloseTo(100, within(1e-9));
    }

    @Test
    void aLoanThatArrivesAfterItsTermIsIgnored() {
        RateLimitShare borrower = new RateLimitShare(PARAMETERS, 0);
        borrower.borrow(60, 5 * SECOND, 5 * SECOND + PARAMETERS.termUs());
        assertThat(borrower.rate(5 * SECOND + PARAMETERS.termUs())).isCloseTo(100, within(1e-9));
    }

    @Test
    void aDirectorThatNeedsItsShareOrHasJustStartedLendsNothing() {
        RateLimitShare busy = new RateLimitShare(PARAMETERS, 0);
        asked(busy, 500, 4 * SECOND, 6 * SECOND);
        assertThat(busy.lend(50, 6 * SECOND)).isZero();
        assertThat(busy.shortfall(6 * SECOND)).isGreaterThan(100);
        assertThat(new RateLimitShare(PARAMETERS, 7 * SECOND).lend(50, 8 * SECOND)).isZero();
    }

    @Test
    void requestsBeyondItsShareAreGrantedOnlyUpToTheReservedPart() {
        RateLimitShare idle = new RateLimitShare(PARAMETERS, 0);
        double all = 0;
        for (int i = 0; i < 1000; i++) {
            all += idle.lend(1e9, 5 * SECOND) + idle.lend(1, 5 * SECOND) + idle.lend(-5, 5 * SECOND);
        }
        assertThat(all).isLessThanOrEqualTo(80 + 1e-9);
        assertThat(idle.rate(5 * SECOND)).isGreaterThanOrEqualTo(20 - 1e-9);
    }

    /** LoanBook that are lost, late and repeated among clocks that run apart, and starts at any time. */
    @Property(tries = 200)
    void theSharesOfAllNeverExceedTheLimit(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int n = 4;
        RateLimitShare.Parameters parameters = new RateLimitShare.Parameters(400, n, 0.1, 2_000_000, 0.01);
        double[] pace = random.doubles(n, 0.995, 1.005).toArray();
        List<RateLimitShare> all = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            all.add(new RateLimitShare(parameters, 0));
        }
        for (long now = 0; now < 20 * SECOND; now += 10_000) {
            int one = random.nextInt(n);
            int other = random.nextInt(n);
            long here = (long) (now * pace[one]);
            if (one != other && random.nextInt(4) == 0) {
                long askedUs = (long) ((now - random.nextInt(1_000_000)) * pace[other]);
                double given = all.get(one).lend(random.nextDouble() * 200, here);
                if (random.nextInt(3) > 0) {
                    all.get(other).borrow(given, askedUs, (long) (now * pace[other]));
                }
            } else if (random.nextInt(300) == 0) {
                all.set(one, new RateLimitShare(parameters, here));
            }
            double sum = 0;
            for (int i = 0; i < n; i++) {
                sum += all.get(i).rate((long) (now * pace[i]));
            }
            assertThat(sum).as("at %d us", now).isLessThanOrEqualTo(400 + 1e-6);
        }
    }
}
