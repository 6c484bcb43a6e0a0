package clovermill.controlplane.policystore.decide;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class HolderTest {

    private static final Terms TERMS = new Terms(3, 5_000_000, 1_000_000, 0.01);
    private static final Step BOTH = Step.FIRST.propose();

    @Test
    void theLeaseCountsFromTheQuestionNotFromTheAnswer() {
        Holder holder = Holder.EMPTY.asks(1, 1_000).granted(1, Step.FIRST, TERMS);
        assertThat(holder.holds(5_000_999)).isTrue();
        assertThat(holder.holds(5_001_000)).isFalse();
    }

    @Test
    void anAnswerNeverTakesItBackToAnEarlierStep() {
        Holder holder = Holder.EMPTY.asks(1, 0).asks(2, 10).granted(2, BOTH, TERMS);
        assertThat(holder.granted(1, Step.FIRST, TERMS)).isSameAs(holder);
        assertThat(holder.step()).isEqualTo(BOTH);
    }

    @Test
    void anAnswerToNoQuestionOfItsOwnIsNone() {
        assertThat(Holder.EMPTY.granted(7, BOTH, TERMS)).isSameAs(Holder.EMPTY);
        Holder once = Holder.EMPTY.asks(1, 0).granted(1, BOTH, TERMS);
        assertThat(once.granted(1, BOTH.settle(), TERMS)).isSameAs(once);
    }

    @Test
    void aStepThatItRefusesIsNotTakenAndTheLeaseBeforeRunsOut() {
        Holder holder = Holder.EMPTY.asks(1, 0).granted(1, Step.FIRST, TERMS).refuses(BOTH).asks(2, 4_000_000);
        assertThat(holder.granted(2, BOTH, TERMS)).isSameAs(holder);
        assertThat(holder.holds(4_999_999)).isTrue();
        assertThat(holder.holds(5_000_000)).isFalse();
        assertThat(holder.granted(2, BOTH.abort(), TERMS).step()).isEqualTo(BOTH.abort());
    }

    @Test
    void aLeaderThatStoodStillWaitsAllTheLonger() {
        Steady steady = new Steady(0, 1_000_000);
        assertThat(steady.at(500_000)).isEqualTo(500_000);
        assertThat(steady.at(60_500_000)).isEqualTo(1_500_000);
        assertThat(steady.at(1_000)).isEqualTo(1_500_000);
    }
}
