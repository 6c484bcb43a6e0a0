package clovermill.director.shutdown.decide;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.director.shutdown.decide.ShutdownSequence.Phase;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class ShutdownSequenceTest {

    private static final long SIGNAL_MICROS = 1_700_000_000_000_000L;

    @Property
    void shutdownCompletesBeforeTheKillAndPhasesNeverGoBack(
            @ForAll @LongRange(min = 1, max = 60_000_000) long longestMicros, @ForAll boolean handover,
            @ForAll @LongRange(min = 0, max = 4_000_000) long one,
            @ForAll @LongRange(min = 0, max = 4_000_000) long other) {
        ShutdownSequence sequence = new ShutdownSequence(SIGNAL_MICROS, longestMicros, handover);
        long killMicros = Math.min(longestMicros, 3_000_000) + 700_000;
        assertThat(sequence.phase(SIGNAL_MICROS + killMicros - 200_000)).isEqualTo(Phase.CUTTING_OFF);
        assertThat(sequence.phase(SIGNAL_MICROS + killMicros - 400_000).compareTo(Phase.ANSWERING_ALL)).isNotNegative();
        assertThat(sequence.phase(SIGNAL_MICROS + Math.min(one, other)))
                .isLessThanOrEqualTo(sequence.phase(SIGNAL_MICROS + Math.max(one, other)));
    }

    @Property
    void allRequestsAreServedWhileThePlatformStillSends(
            @ForAll @LongRange(min = 600_000, max = 60_000_000) long longestMicros,
            @ForAll @LongRange(min = 0, max = 599_999) long after) {
        ShutdownSequence sequence = new ShutdownSequence(SIGNAL_MICROS, longestMicros, false);
        assertThat(sequence.phase(SIGNAL_MICROS + after)).isEqualTo(Phase.NOTIFIED);
    }
}
