package clovermill.runtime.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class DeadlinesTest {

    private final Deadlines deadlines = new Deadlines();
    private final List<String> expired = new ArrayList<>();

    @Test
    void givenDueDeadlinesThenTheyRunInOrderOfTimeAndThenOfAddition() {
        deadlines.add(20, () -> expired.add("c"));
        deadlines.add(10, () -> expired.add("a"));
        deadlines.add(10, () -> expired.add("b"));
        deadlines.sweep(9);
        assertThat(expired).isEmpty();
        assertThat(deadlines.nextUs()).isEqualTo(10);
        deadlines.sweep(20);
        assertThat(expired).containsExactly("a", "b", "c");
        assertThat(deadlines.nextUs()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void givenADeadlineCancelledDuringTheSweepThenItDoesNotExpire() {
        Deadlines.Deadline[] second = new Deadlines.Deadline[1];
        deadlines.add(1, () -> deadlines.cancel(second[0]));
        second[0] = deadlines.add(1, () -> expired.add("cancelled"));
        deadlines.sweep(5);
        assertThat(expired).isEmpty();
        assertThat(deadlines.size()).isZero();
    }

    /** Otherwise one that adds itself again for a past time would block the loop forever. */
    @Test
    void givenADeadlineAddedDuringASweepThenItWaitsForTheNext() {
        deadlines.add(1, () -> deadlines.add(0, () -> expired.add("next")));
        deadlines.sweep(5);
        assertThat(expired).isEmpty();
        deadlines.sweep(5);
        assertThat(expired).containsExactly("next");
    }
}
