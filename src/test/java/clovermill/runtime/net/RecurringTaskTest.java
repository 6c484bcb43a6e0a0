package clovermill.runtime.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class RecurringTaskTest {

    private static final long INTERVAL_US = 100;

    private long nowUs = 1_000;
    private int runs;
    private final Deadlines deadlines = new Deadlines();
    private final Clock clock = new Clock() {
        @Override
        public long micros() {
            return nowUs;
        }

        @Override
        public long unixMillis() {
            return nowUs / 1000;
        }
    };

    private void after(long us) {
        nowUs += us;
        deadlines.sweep(nowUs);
    }

    @Test
    void runsAtOnceAndAfterEachInterval() {
        RecurringTask.start(deadlines, clock, INTERVAL_US, () -> runs++);
        assertThat(runs).isEqualTo(1);
        after(INTERVAL_US - 1);
        assertThat(runs).isEqualTo(1);
        after(1);
        assertThat(runs).isEqualTo(2);
        after(3 * INTERVAL_US);
        assertThat(runs).as("runs that were missed are not made up for").isEqualTo(3);
        assertThat(deadlines.size()).isEqualTo(1);
    }

    @Test
    void aRunThatThrowsDoesNotEndTheSeries() {
        RecurringTask.start(deadlines, clock, INTERVAL_US, () -> {
            runs++;
            if (runs == 2) {
                throw new IllegalStateException("once");
            }
        });
        assertThatThrownBy(() -> after(INTERVAL_US)).hasMessage("once");
        after(INTERVAL_US);
        assertThat(runs).isEqualTo(3);
    }

    @Test
    void aTaskThatStopsItselfDoesNotRunAgain() {
        RecurringTask[] task = {null};
        task[0] = new RecurringTask(deadlines, clock, INTERVAL_US, () -> {
            runs++;
            if (runs == 2) {
                task[0].stop();
            }
        });
        assertThat(deadlines.size()).as("nothing runs before its start").isZero();
        task[0].start();
        after(INTERVAL_US);
        assertThat(runs).isEqualTo(2);
        assertThat(deadlines.size()).isZero();
    }
}
