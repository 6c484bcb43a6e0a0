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
import clovermill.runtime.net.ManualClock;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class GracefulShutdownTest {

    private static final long STEP_US = 10_000;
    private static final long LONGEST_DEADLINE_US = 3_000_000;

    private final ManualClock clock = new ManualClock(1_700_000_000_000_000L);
    private final Deadlines deadlines = new Deadlines();

    /** A server whose first closing of idle connections fails; it has one connection until that is forcibly closed. */
    private static final class FailingServer implements ClientServer {
        private int calls;
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
            calls++;
            empty = force;
            if (calls == 1) {
                throw new IllegalStateException("the first connection cannot be closed");
            }
        }

        @Override
        public boolean isEmpty() {
            return empty;
        }
    }

    private static ProxyCore core(Clock clock, Deadlines deadlines) throws Exception {
        Config config = Config.read(Files.readString(Path.of("src/test/resources/director.json"))
                .replaceAll("\\$\\{[^}]*}", "127.0.0.1:9"), null);
        Upstream unused = new Upstream() {
            @Override
            public Exchange send(AttemptOrder order, AttemptListener listener) {
                throw new AssertionError("nothing is sent");
            }

            @Override
            public void probe(String member, AttemptListener listener) {}

            @Override
            public void closeIdle(String member) {}
        };
        return new ProxyCore((atUs, event, out) -> {}, config.settings(), clock, deadlines, unused);
    }

    /** Otherwise the process would run until the platform kills it, with open requests unanswered. */
    @Test
    void shutdownCompletesAfterAFailedCheck() throws Exception {
        FailingServer server = new FailingServer();
        GracefulShutdown shutdown = new GracefulShutdown(new EventLoop(clock, deadlines), clock, deadlines, server,
                core(clock, deadlines), () -> LONGEST_DEADLINE_US, false);
        shutdown.begin();
        assertThatThrownBy(() -> {
            while (server.calls == 0) {
                advance();
            }
        }).hasMessage("the first connection cannot be closed");
        for (long remainingUs = LONGEST_DEADLINE_US; remainingUs > 0; remainingUs -= STEP_US) {
            advance();
        }
        assertThat(server.empty).as("closed before the platform kills the process").isTrue();
        assertThat(deadlines.size()).as("remaining deadlines").isZero();
    }

    private void advance() {
        clock.passUs(STEP_US);
        deadlines.sweep(clock.micros());
    }
}
