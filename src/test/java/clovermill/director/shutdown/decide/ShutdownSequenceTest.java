package clovermill.director.shutdown.decide;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.director.shutdown.decide.ShutdownSequence.Phase;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class ShutdownSequenceTest {

    private static final long SIGNAL_US = 1_700_000_000_000_000L;

    @Property
    void shutdownCompletesBeforeTheKillAndPhasesNeverRegress(
            @ForAll @LongRange(min = 1, max = 60_000_000) long longestUs, @ForAll boolean handover,
            @ForAll @LongRange(min = 0, max = 4_000_000) long one,
            @ForAll @LongRange(min = 0, max = 4_000_000) long other) {
        ShutdownSequence sequence = new ShutdownSequence(SIGNAL_US, longestUs, handover);
        long killUs = Math.min(longestUs, 3_000_000) + 700_000;
        assertThat(sequence.phase(SIGNAL_US + killUs - 200_000)).isEqualTo(Phase.FORCE_CLOSING);
        assertThat(sequence.phase(SIGNAL_US + killUs - 400_000).compareTo(Phase.ANSWERING_ALL)).isNotNegative();
        assertThat(sequence.phase(SIGNAL_US + Math.min(one, other)))
                .isLessThanOrEqualTo(sequence.phase(SIGNAL_US + Math.max(one, other)));
    }

    @Property
    void servesAllRequestsWhileThePlatformStillSends(
            @ForAll @LongRange(min = 600_000, max = 60_000_000) long longestUs,
            @ForAll @LongRange(min = 0, max = 599_999) long elapsedUs) {
        ShutdownSequence sequence = new ShutdownSequence(SIGNAL_US, longestUs, false);
        assertThat(sequence.phase(SIGNAL_US + elapsedUs)).isEqualTo(Phase.NOTIFIED);
    }
}
