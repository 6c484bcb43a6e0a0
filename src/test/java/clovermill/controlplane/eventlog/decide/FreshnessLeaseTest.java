package clovermill.controlplane.eventlog.decide;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class FreshnessLeaseTest {

    private static final EventLogTiming TIMING = new EventLogTiming(400, 1000, 250, 250, 5000, 60_000, 0.01);
    private final FreshnessLease freshness = new FreshnessLease(TIMING);

    @Test
    void startsAtTheRequestLessTheAgeOfTheProofNotAtTheAnswer() {
        freshness.requestSent(1, 10_000);
        freshness.responseReceived(1, 0, 1000, 14_000);
        freshness.applied(0);
        assertThat(freshness.asOfUs()).isEqualTo(10_000 - 1010);
        assertThat(freshness.provenUntilUs()).isEqualTo(10_000 - 1010 + 4950);
        assertThat(freshness.proven(10_000 - 1010 + 4949)).isFalse(); // earlier than the last time passed in
        assertThat(freshness.proven(14_000)).isFalse();
    }

    @Test
    void expiresExactlyAtTheMaximumStaleness() {
        freshness.requestSent(1, 10_000);
        freshness.responseReceived(1, 0, 0, 10_100);
        freshness.applied(0);
        assertThat(freshness.proven(14_949)).isTrue();
        assertThat(freshness.proven(14_950)).isFalse();
    }

    @Test
    void aProofCountsOnceAllEntriesUpToItsHeadAreApplied() {
        freshness.requestSent(1, 10_000);
        freshness.responseReceived(1, 7, 0, 10_100);
        freshness.applied(6);
        assertThat(freshness.proven(10_100)).isFalse();
        freshness.applied(7);
        assertThat(freshness.proven(10_100)).isTrue();
    }

    @Test
    void aCompactedRangeIsUnprovenUntilTheReplacingEventsAreApplied() {
        freshness.requestSent(1, 10_000);
        freshness.responseReceived(1, 7, 0, 10_100);
        freshness.incompleteUntil(9);
        freshness.applied(8);
        assertThat(freshness.proven(10_100)).isFalse();
        freshness.applied(9);
        assertThat(freshness.proven(10_100)).isTrue();
    }

    @Test
    void ignoresAnswersToUnknownRequestsAndAnswersWithoutAValidProof() {
        freshness.requestSent(1, 10_000);
        freshness.responseReceived(2, 0, 0, 10_100);
        freshness.responseReceived(1, -1, 0, 10_100);
        freshness.responseReceived(1, 0, -5, 10_100);
        freshness.applied(0);
        assertThat(freshness.proven(10_100)).isFalse();
    }

    @Test
    void dropsTheProofWhenTheClockGoesBackwards() {
        freshness.requestSent(1, 10_000);
        freshness.responseReceived(1, 0, 0, 10_100);
        freshness.applied(0);
        assertThat(freshness.proven(10_050)).isFalse();
        freshness.requestSent(2, 10_050);
        assertThat(freshness.proven(10_100)).isFalse();
    }

    @Test
    void dropsTheOldestOfManyRequestsAndProofsWithoutExtendingTheLease() {
        for (int i = 1; i <= 100; i++) {
            freshness.requestSent(i, 10_000 + i);
            freshness.responseReceived(i, 1000 + i, 0, 10_000 + i);
        }
        freshness.responseReceived(1, 0, 0, 10_200);
        freshness.applied(0);
        assertThat(freshness.proven(10_200)).isFalse();
        freshness.applied(1100);
        assertThat(freshness.asOfUs()).isEqualTo(10_100);
    }
}
