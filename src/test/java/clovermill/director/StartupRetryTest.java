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

    private static final long START_US = 1_700_000_000_000_000L;

    private long nowUs = START_US;
    private int attempts;
    private final StartupRetry startup = new StartupRetry(new Clock() {
        @Override
        public long micros() {
            return nowUs;
        }

        @Override
        public long unixMillis() {
            return nowUs / 1000;
        }
    }, micros -> nowUs += micros);

    private StartupRetry.Attempt<String> failing(int times, IOException failure) {
        return () -> {
            attempts++;
            if (attempts <= times) {
                throw failure;
            }
            return "resource";
        };
    }

    @Test
    void retriesATemporaryFailureAtIntervals() throws Exception {
        assertThat(startup.get("a socket", failing(3, new IOException("Too many open files")))).isEqualTo("resource");
        assertThat(attempts).isEqualTo(4);
        assertThat(nowUs).isEqualTo(START_US + 3 * StartupRetry.RETRY_INTERVAL_US);
    }

    @Test
    void throwsThePersistentFailureAtTheTimeLimit() {
        assertThatThrownBy(() -> startup.get("a socket", failing(Integer.MAX_VALUE, new BindException("in use"))))
                .isInstanceOf(BindException.class).hasMessage("in use");
        assertThat(nowUs).isEqualTo(START_US + StartupRetry.TIMEOUT_US);
    }

    /** Otherwise a start with several sockets could take several times as long. */
    @Test
    void oneTimeLimitAppliesToAllResources() throws Exception {
        int maxAttempts = (int) (StartupRetry.TIMEOUT_US / StartupRetry.RETRY_INTERVAL_US);
        startup.get("a socket", failing(maxAttempts, new IOException("No buffer space available")));
        attempts = 0;
        assertThatThrownBy(() -> startup.get("another", failing(1, new IOException("No buffer space available"))));
        assertThat(nowUs).isEqualTo(START_US + StartupRetry.TIMEOUT_US);
    }

    @Test
    void throwsAPermanentFailureAtOnce() {
        assertThatThrownBy(() -> startup.get("a file", failing(1, new NoSuchFileException("missing"))));
        attempts = 0;
        assertThatThrownBy(() -> startup.get("a file", failing(1, new MalformedInputException(1))));
        assertThat(nowUs).isEqualTo(START_US);
    }
}
