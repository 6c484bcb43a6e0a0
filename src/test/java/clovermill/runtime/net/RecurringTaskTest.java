package clovermill.runtime.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class RecurringTaskTest {

    private static final long INTERVAL_US = 100;

    private int runs;
    private final Deadlines deadlines = new Deadlines();
    private final ManualClock clock = new ManualClock(1_000);

    private void passUs(long micros) {
        clock.passUs(micros);
        deadlines.sweep(clock.micros());
    }

    @Test
    void givenAnIntervalWhenStartedThenRunsAtOnceAndAfterEachInterval() {
        RecurringTask.start(deadlines, clock, INTERVAL_US, () -> runs++);
        assertThat(runs).isEqualTo(1);
        passUs(INTERVAL_US - 1);
        assertThat(runs).isEqualTo(1);
        passUs(1);
        assertThat(runs).isEqualTo(2);
        passUs(3 * INTERVAL_US);
        assertThat(runs).as("missed runs are not repeated").isEqualTo(3);
        assertThat(deadlines.size()).isEqualTo(1);
    }

    @Test
    void givenARunThatThrowsThenTheRecurrenceContinues() {
        RecurringTask.start(deadlines, clock, INTERVAL_US, () -> {
            runs++;
            if (runs == 2) {
                throw new IllegalStateException("once");
            }
        });
        assertThatThrownBy(() -> passUs(INTERVAL_US)).hasMessage("once");
        passUs(INTERVAL_US);
        assertThat(runs).isEqualTo(3);
    }

    @Test
    void givenATaskThatStopsItselfThenItDoesNotRunAgain() {
        RecurringTask[] task = {null};
        task[0] = new RecurringTask(deadlines, clock, INTERVAL_US, () -> {
            runs++;
            if (runs == 2) {
                task[0].stop();
            }
        });
        assertThat(deadlines.size()).as("nothing runs before its start").isZero();
        task[0].start();
        passUs(INTERVAL_US);
        assertThat(runs).isEqualTo(2);
        assertThat(deadlines.size()).isZero();
    }
}
