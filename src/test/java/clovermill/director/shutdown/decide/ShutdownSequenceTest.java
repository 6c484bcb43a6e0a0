package clovermill.director.shutdown.decide;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.director.shutdown.decide.ShutdownSequence.Step;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class ShutdownSequenceTest {

    private static final long SINCE_US = 1_700_000_000_000_000L;

    @Property
    void theEndComesBeforeThePlatformKillsAndNoStepIsTakenBack(
            @ForAll @LongRange(min = 1, max = 60_000_000) long longest, @ForAll boolean handsOver,
            @ForAll @LongRange(min = 0, max = 4_000_000) long one,
            @ForAll @LongRange(min = 0, max = 4_000_000) long other) {
        ShutdownSequence farewell = new ShutdownSequence(SINCE_US, longest, handsOver);
        long killUs = Math.min(longest, 3_000_000) + 700_000;
        assertThat(farewell.at(SINCE_US + killUs - 200_000)).isEqualTo(Step.CUTS_OFF);
        assertThat(farewell.at(SINCE_US + killUs - 400_000).compareTo(Step.ANSWERS_ALL)).isNotNegative();
        assertThat(farewell.at(SINCE_US + Math.min(one, other)))
                .isLessThanOrEqualTo(farewell.at(SINCE_US + Math.max(one, other)));
    }

    @Property
    void allIsServedWhileThePlatformStillSends(@ForAll @LongRange(min = 600_000, max = 60_000_000) long longest,
            @ForAll @LongRange(min = 0, max = 599_999) long after) {
        ShutdownSequence farewell = new ShutdownSequence(SINCE_US, longest, false);
        assertThat(farewell.at(SINCE_US + after)).isEqualTo(Step.TOLD);
    }
}
