package clovermill.director.shutdown;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import clovermill.config.Config;
import clovermill.dataplane.proxy.AttemptListener;
import clovermill.dataplane.proxy.AttemptOrder;
import clovermill.dataplane.proxy.Exchange;
import clovermill.dataplane.proxy.ProxyCore;
import clovermill.dataplane.proxy.Upstream;
import clovermill.dataplane.server.ClientServer;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class GracefulShutdownTest {

    private static final long STEP_US = 10_000;
    private static final long LONGEST_US = 3_000_000;

    private long nowUs = 1_700_000_000_000_000L;
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

    /** A front that fails the first time that connections are to end, and has one connection until it is cut off. */
    private static final class FailingFront implements ClientServer {
        private int partings;
        private boolean empty;

        @Override
        public void open() {}

        @Override
        public boolean isReady() {
            return false;
        }

        @Override
        public void announceShutdown() {}

        @Override
        public void stopAccepting() {}

        @Override
        public void closeConnections(boolean rejectNew, boolean force) {
            partings++;
            empty = force;
            if (partings == 1) {
                throw new IllegalStateException("the first connection cannot be ended");
            }
        }

        @Override
        public boolean isEmpty() {
            return empty;
        }
    }

    private static ProxyCore host(Clock clock, Deadlines deadlines) throws Exception {
        Config config = Config.read(Files.readString(Path.of("src/test/resources/director.json"))
                .replaceAll("\\$\\{[^}]*}", "127.0.0.1:9"), null);
        Upstream nobody = new Upstream() {
            @Override
            public Exchange send(AttemptOrder order, AttemptListener listener) {
                throw new AssertionError("nothing is sent");
            }

            @Override
            public void probe(String member, AttemptListener listener) {}

            @Override
            public void closeIdle(String member) {}
        };
        return new ProxyCore((atUs, event, out) -> {}, config.settings(), clock, deadlines, nobody);
    }

    /** Otherwise the process would stay until the platform kills it, with what is open unanswered. */
    @Test
    void aStepThatFailsDoesNotKeepTheProcessFromEnding() throws Exception {
        FailingFront front = new FailingFront();
        GracefulShutdown departure = new GracefulShutdown(new EventLoop(clock, deadlines), clock, deadlines, front,
                host(clock, deadlines), () -> LONGEST_US, false);
        departure.begin();
        assertThatThrownBy(() -> {
            while (front.partings == 0) {
                nowUs += STEP_US;
                deadlines.sweep(nowUs);
            }
        }).hasMessage("the first connection cannot be ended");
        for (long leftUs = LONGEST_US; leftUs > 0; leftUs -= STEP_US) {
            nowUs += STEP_US;
            deadlines.sweep(nowUs);
        }
        assertThat(front.empty).as("cut off before the platform kills").isTrue();
        assertThat(deadlines.size()).as("the end is no longer looked after").isZero();
    }
}
