package clovermill.controlplane.policystore.decide;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LeaseHolderTest {

    private static final LeaseTiming TERMS = new LeaseTiming(3, 5_000_000, 1_000_000, 0.01);
    private static final PolicyTransition BOTH = PolicyTransition.FIRST.propose();

    @Test
    void theLeaseCountsFromTheQuestionNotFromTheAnswer() {
        LeaseHolder holder = LeaseHolder.EMPTY.asks(1, 1_000).granted(1, PolicyTransition.FIRST, TERMS);
        assertThat(holder.holds(5_000_999)).isTrue();
        assertThat(holder.holds(5_001_000)).isFalse();
    }

    @Test
    void anAnswerNeverTakesItBackToAnEarlierStep() {
        LeaseHolder holder = LeaseHolder.EMPTY.asks(1, 0).asks(2, 10).granted(2, BOTH, TERMS);
        assertThat(holder.granted(1, PolicyTransition.FIRST, TERMS)).isSameAs(holder);
        assertThat(holder.step()).isEqualTo(BOTH);
    }

    @Test
    void anAnswerToNoQuestionOfItsOwnIsNone() {
        assertThat(LeaseHolder.EMPTY.granted(7, BOTH, TERMS)).isSameAs(LeaseHolder.EMPTY);
        LeaseHolder once = LeaseHolder.EMPTY.asks(1, 0).granted(1, BOTH, TERMS);
        assertThat(once.granted(1, BOTH.settle(), TERMS)).isSameAs(once);
    }

    @Test
    void aStepThatItRefusesIsNotTakenAndTheLeaseBeforeRunsOut() {
        LeaseHolder holder =
                LeaseHolder.EMPTY.asks(1, 0).granted(1, PolicyTransition.FIRST, TERMS).refuses(BOTH).asks(2, 4_000_000);
        assertThat(holder.granted(2, BOTH, TERMS)).isSameAs(holder);
        assertThat(holder.holds(4_999_999)).isTrue();
        assertThat(holder.holds(5_000_000)).isFalse();
        assertThat(holder.granted(2, BOTH.abort(), TERMS).step()).isEqualTo(BOTH.abort());
    }

    @Test
    void aLeaderThatStoodStillWaitsAllTheLonger() {
        MonotonicClock steady = new MonotonicClock(0, 1_000_000);
        assertThat(steady.at(500_000)).isEqualTo(500_000);
        assertThat(steady.at(60_500_000)).isEqualTo(1_500_000);
        assertThat(steady.at(1_000)).isEqualTo(1_500_000);
    }
}
