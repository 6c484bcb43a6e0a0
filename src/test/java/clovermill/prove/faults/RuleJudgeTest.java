package clovermill.prove.faults;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RuleJudgeTest {

    private static final long SECOND = 1_000_000;
    private static final long KEY = 7;
    private static final int GROUP = 3;

    private final RuleJudge judge = new RuleJudge(30);

    @Test
    void aCopyFromBeforeAPurgeIsStaleOnceTheWindowIsOver() {
        judge.purged(KEY, 0, 10 * SECOND);
        long over = 10 * SECOND + RuleJudge.PURGE_NOTICE_US + RuleJudge.SLACK_US;
        judge.answered(KEY, GROUP, over, 9 * SECOND);
        judge.answered(KEY, GROUP, over + 1, 10 * SECOND);
        judge.answered(KEY + 1, GROUP, over + 1, 9 * SECOND);
        assertThat(judge.verdict().stale()).isZero();
        judge.answered(KEY, GROUP, over + 1, 9 * SECOND);
        assertThat(judge.verdict().stale()).isEqualTo(1);
    }

    @Test
    void aPurgeOfAGroupHoldsForItsObjects() {
        judge.purged(null, GROUP, 10 * SECOND);
        judge.answered(KEY, GROUP + 1, 20 * SECOND, 9 * SECOND);
        assertThat(judge.verdict().stale()).isZero();
        judge.answered(KEY, GROUP, 20 * SECOND, 9 * SECOND);
        assertThat(judge.verdict().stale()).isEqualTo(1);
    }

    @Test
    void requestsAndFillsFromADrainingCacheCountBeyondTheGrace() {
        judge.draining("s-1", SECOND);
        long over = SECOND + RuleJudge.DRAIN_GRACE_US + RuleJudge.SLACK_US;
        judge.request("s-1", over);
        judge.request("s-2", over + 1);
        assertThat(judge.verdict().drained()).isZero();
        judge.request("s-1", over + 1);
        judge.fillFrom("s-1", over + 1);
        assertThat(judge.verdict().drained()).isEqualTo(2);
    }

    @Test
    void aColdCacheIsOverloadedOnceByMoreCallsThanItsBudget() {
        judge.started("c-1", SECOND);
        // 3 x 30 a second x 5 % x 3 s = 13.5 calls, and 3 x root of that + 3 for chance: 27.
        for (int i = 0; i < 27; i++) {
            judge.request("c-1", SECOND);
        }
        assertThat(judge.verdict().overloaded()).isZero();
        judge.request("c-1", SECOND);
        judge.request("c-1", SECOND);
        assertThat(judge.verdict().overloaded()).isEqualTo(1);
    }

    @Test
    void callsOfAnEarlierWindowAreForgotten() {
        judge.started("c-1", SECOND);
        for (int i = 0; i < 27; i++) {
            judge.request("c-1", SECOND);
        }
        for (int i = 0; i < 27; i++) {
            judge.request("c-1", SECOND + RuleJudge.OVERLOAD_WINDOW_US + 1);
        }
        assertThat(judge.verdict().overloaded()).isZero();
    }

    @Test
    void anEffectCountsTwiceWhereItsRepeatComesAfterTheOriginsWindow() {
        judge.ran("token", SECOND);
        judge.ran("token", SECOND + RuleJudge.EFFECT_WINDOW_US);
        judge.ran("other", 9 * SECOND);
        assertThat(judge.verdict().duplicate()).isZero();
        judge.ran("token", SECOND + RuleJudge.EFFECT_WINDOW_US + 1);
        assertThat(judge.verdict().duplicate()).isEqualTo(1);
        assertThat(judge.notes()).containsExactly("duplicate: ran again after 3000 ms");
    }
}
