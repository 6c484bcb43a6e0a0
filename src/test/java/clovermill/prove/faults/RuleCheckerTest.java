package clovermill.prove.faults;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RuleCheckerTest {

    private static final long SECOND = 1_000_000;
    private static final long KEY = 7;
    private static final int GROUP = 3;

    private final RuleChecker checker = new RuleChecker(30);

    @Test
    void countsCopyFromBeforePurgeAsStaleAfterNoticeWindow() {
        checker.purged(KEY, 0, 10 * SECOND);
        long over = 10 * SECOND + RuleChecker.PURGE_NOTICE_US + RuleChecker.SLACK_US;
        checker.responseServed(KEY, GROUP, over, 9 * SECOND);
        checker.responseServed(KEY, GROUP, over + 1, 10 * SECOND);
        checker.responseServed(KEY + 1, GROUP, over + 1, 9 * SECOND);
        assertThat(checker.verdict().stale()).isZero();
        checker.responseServed(KEY, GROUP, over + 1, 9 * SECOND);
        assertThat(checker.verdict().stale()).isEqualTo(1);
    }

    @Test
    void groupPurgeAppliesToItsObjectsOnly() {
        checker.purged(null, GROUP, 10 * SECOND);
        checker.responseServed(KEY, GROUP + 1, 20 * SECOND, 9 * SECOND);
        assertThat(checker.verdict().stale()).isZero();
        checker.responseServed(KEY, GROUP, 20 * SECOND, 9 * SECOND);
        assertThat(checker.verdict().stale()).isEqualTo(1);
    }

    @Test
    void countsRequestsToAndFillsFromDrainingCacheAfterGracePeriod() {
        checker.drainStarted("s-1", SECOND);
        long over = SECOND + RuleChecker.DRAIN_GRACE_US + RuleChecker.SLACK_US;
        checker.requestReceived("s-1", over);
        checker.requestReceived("s-2", over + 1);
        assertThat(checker.verdict().drained()).isZero();
        checker.requestReceived("s-1", over + 1);
        checker.fillRequested("s-1", over + 1);
        assertThat(checker.verdict().drained()).isEqualTo(2);
    }

    @Test
    void countsColdCacheOnceIfCallsExceedItsBudget() {
        checker.cacheStarted("c-1", SECOND);
        // 3 x 30 per second x 5 % x 3 s = 13.5 calls; the margin for chance, 3 x sqrt(13.5) + 3, makes it 27.
        for (int i = 0; i < 27; i++) {
            checker.requestReceived("c-1", SECOND);
        }
        assertThat(checker.verdict().overloaded()).isZero();
        checker.requestReceived("c-1", SECOND);
        checker.requestReceived("c-1", SECOND);
        assertThat(checker.verdict().overloaded()).isEqualTo(1);
    }

    @Test
    void ignoresCallsBeforeOverloadWindow() {
        checker.cacheStarted("c-1", SECOND);
        for (int i = 0; i < 27; i++) {
            checker.requestReceived("c-1", SECOND);
        }
        for (int i = 0; i < 27; i++) {
            checker.requestReceived("c-1", SECOND + RuleChecker.OVERLOAD_WINDOW_US + 1);
        }
        assertThat(checker.verdict().overloaded()).isZero();
    }

    @Test
    void countsEffectAsDuplicateIfRepeatedAfterDeduplicationWindow() {
        checker.effectExecuted("token", SECOND);
        checker.effectExecuted("token", SECOND + RuleChecker.EFFECT_WINDOW_US);
        checker.effectExecuted("other", 9 * SECOND);
        assertThat(checker.verdict().duplicate()).isZero();
        checker.effectExecuted("token", SECOND + RuleChecker.EFFECT_WINDOW_US + 1);
        assertThat(checker.verdict().duplicate()).isEqualTo(1);
        assertThat(checker.findings()).containsExactly("duplicate: executed again after 3000 ms");
    }
}
