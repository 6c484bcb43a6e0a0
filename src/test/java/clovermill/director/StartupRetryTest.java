package clovermill.director;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import clovermill.runtime.net.Clock;
import java.io.IOException;
import java.net.BindException;
import java.nio.charset.MalformedInputException;
import java.nio.file.NoSuchFileException;
import org.junit.jupiter.api.Test;

class StartupRetryTest {

    private static final long START_MICROS = 1_700_000_000_000_000L;

    private long nowMicros = START_MICROS;
    private int attempts;
    private final StartupRetry startup = new StartupRetry(new Clock() {
        @Override
        public long micros() {
            return nowMicros;
        }

        @Override
        public long unixMillis() {
            return nowMicros / 1000;
        }
    }, micros -> nowMicros += micros);

    private StartupRetry.Attempt<String> failing(int times, IOException failure) {
        return () -> {
            attempts++;
            if (attempts <= times) {
                throw failure;
            }
            return "had";
        };
    }

    @Test
    void whatIsRefusedForAMomentIsHadAfterPauses() throws Exception {
        assertThat(startup.get("a socket", failing(3, new IOException("Too many open files")))).isEqualTo("had");
        assertThat(attempts).isEqualTo(4);
        assertThat(nowMicros).isEqualTo(START_MICROS + 3 * StartupRetry.PAUSE_MICROS);
    }

    @Test
    void whatIsRefusedForGoodEndsTheStartWithItsReasonAtTheBound() {
        assertThatThrownBy(() -> startup.get("a socket", failing(Integer.MAX_VALUE, new BindException("in use"))))
                .isInstanceOf(BindException.class).hasMessage("in use");
        assertThat(nowMicros).isEqualTo(START_MICROS + StartupRetry.BOUND_MICROS);
    }

    /** Else a start with several sockets could take several times as long. */
    @Test
    void oneBoundHoldsForAllThatIsToBeHad() throws Exception {
        int most = (int) (StartupRetry.BOUND_MICROS / StartupRetry.PAUSE_MICROS);
        startup.get("a socket", failing(most, new IOException("No buffer space available")));
        attempts = 0;
        assertThatThrownBy(() -> startup.get("another", failing(1, new IOException("No buffer space available"))));
        assertThat(nowMicros).isEqualTo(START_MICROS + StartupRetry.BOUND_MICROS);
    }

    @Test
    void whatWillNotBeHadAMomentLaterEndsTheStartAtOnce() {
        assertThatThrownBy(() -> startup.get("a file", failing(1, new NoSuchFileException("gone"))));
        attempts = 0;
        assertThatThrownBy(() -> startup.get("a file", failing(1, new MalformedInputException(1))));
        assertThat(nowMicros).isEqualTo(START_MICROS);
    }
}
