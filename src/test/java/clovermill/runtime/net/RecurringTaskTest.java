package clovermill.runtime.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class RecurringTaskTest {

    private static final long INTERVAL_MICROS = 100;

    private int runs;
    private final Deadlines deadlines = new Deadlines();
    private final ManualClock clock = new ManualClock(1_000);

    private void passMicros(long micros) {
        clock.passMicros(micros);
        deadlines.sweep(clock.micros());
    }

    @Test
    void givenAnIntervalWhenStartedThenRunsAtOnceAndAfterEachInterval() {
        RecurringTask.start(deadlines, clock, INTERVAL_MICROS, () -> runs++);
        assertThat(runs).isEqualTo(1);
        passMicros(INTERVAL_MICROS - 1);
        assertThat(runs).isEqualTo(1);
        passMicros(1);
        assertThat(runs).isEqualTo(2);
        passMicros(3 * INTERVAL_MICROS);
        assertThat(runs).as("runs that were missed are not made up for").isEqualTo(3);
        assertThat(deadlines.size()).isEqualTo(1);
    }

    @Test
    void givenARunThatThrowsThenTheRecurrenceGoesOn() {
        RecurringTask.start(deadlines, clock, INTERVAL_MICROS, () -> {
            runs++;
            if (runs == 2) {
                throw new IllegalStateException("once");
            }
        });
        assertThatThrownBy(() -> passMicros(INTERVAL_MICROS)).hasMessage("once");
        passMicros(INTERVAL_MICROS);
        assertThat(runs).isEqualTo(3);
    }

    @Test
    void givenATaskThatStopsItselfThenItDoesNotRunAgain() {
        RecurringTask[] task = {null};
        task[0] = new RecurringTask(deadlines, clock, INTERVAL_MICROS, () -> {
            runs++;
            if (runs == 2) {
                task[0].stop();
            }
        });
        assertThat(deadlines.size()).as("nothing runs before its start").isZero();
        task[0].start();
        passMicros(INTERVAL_MICROS);
        assertThat(runs).isEqualTo(2);
        assertThat(deadlines.size()).isZero();
    }
}
