package clovermill.controlplane.policystore.decide;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LeaseHolderTest {

    private static final LeaseTiming TIMING = new LeaseTiming(3, 5_000_000, 1_000_000, 0.01);
    private static final PolicyTransition TRANSITION = PolicyTransition.FIRST.propose();

    @Test
    void leaseStartsAtTheTimeOfItsRequest() {
        LeaseHolder holder = LeaseHolder.EMPTY.request(1, 1_000).grant(1, PolicyTransition.FIRST, TIMING);
        assertThat(holder.isValid(5_000_999)).isTrue();
        assertThat(holder.isValid(5_001_000)).isFalse();
    }

    @Test
    void ignoresAGrantOfAnEarlierStep() {
        LeaseHolder holder = LeaseHolder.EMPTY.request(1, 0).request(2, 10).grant(2, TRANSITION, TIMING);
        assertThat(holder.grant(1, PolicyTransition.FIRST, TIMING)).isSameAs(holder);
        assertThat(holder.step()).isEqualTo(TRANSITION);
    }

    @Test
    void ignoresAGrantWithoutAnUnansweredRequest() {
        assertThat(LeaseHolder.EMPTY.grant(7, TRANSITION, TIMING)).isSameAs(LeaseHolder.EMPTY);
        LeaseHolder once = LeaseHolder.EMPTY.request(1, 0).grant(1, TRANSITION, TIMING);
        assertThat(once.grant(1, TRANSITION.complete(), TIMING)).isSameAs(once);
    }

    @Test
    void leasePreviousToARejectedStepExpires() {
        LeaseHolder holder =
                LeaseHolder.EMPTY.request(1, 0).grant(1, PolicyTransition.FIRST, TIMING).reject(TRANSITION).request(2,
                        4_000_000);
        assertThat(holder.grant(2, TRANSITION, TIMING)).isSameAs(holder);
        assertThat(holder.isValid(4_999_999)).isTrue();
        assertThat(holder.isValid(5_000_000)).isFalse();
        assertThat(holder.grant(2, TRANSITION.abort(), TIMING).step()).isEqualTo(TRANSITION.abort());
    }

    @Test
    void monotonicClockAddsAtMostOneStepAfterAPause() {
        MonotonicClock clock = new MonotonicClock(0, 1_000_000);
        assertThat(clock.advance(500_000)).isEqualTo(500_000);
        assertThat(clock.advance(60_500_000)).isEqualTo(1_500_000);
        assertThat(clock.advance(1_000)).isEqualTo(1_500_000);
    }
}
