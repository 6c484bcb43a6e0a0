package clovermill.dataplane.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.dataplane.proxy.AttemptListener;
import clovermill.dataplane.proxy.AttemptOrder;
import clovermill.dataplane.proxy.ClientRequest;
import clovermill.dataplane.proxy.Exchange;
import clovermill.dataplane.proxy.UpstreamResponse;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.Result;
import clovermill.runtime.net.Budget;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.ConnectionHandler;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import clovermill.runtime.net.ManualClock;
import clovermill.runtime.net.ScriptedSocket;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests that {@code ms=}, the deadline passed to a server, is the client's remaining time when it is written. */
class RequestDeadlineTest {

    private static final Pattern MS_FIELD = Pattern.compile(",ms=(\\d+)");
    private static final int TIMEOUT_MS = 1000;
    private static final long DIAL_TIMEOUT_US = 400_000;
    private static final int LARGE_BODY_BYTES = 100_000;

    private final ManualClock clock = new ManualClock();
    private final Deadlines deadlines = new Deadlines();
    private final ScriptedSocket socket = new ScriptedSocket();
    private EventLoop loop;
    private UpstreamPool pool;

    @BeforeEach
    void open() throws IOException {
        loop = new EventLoop(clock, deadlines);
        pool = new UpstreamPool(this::dial, clock, deadlines, new Budget(1 << 20),
                new UpstreamPool.Limits(1000, 1, DIAL_TIMEOUT_US, 30_000_000));
        pool.updateMember("m", new InetSocketAddress(InetAddress.getLoopbackAddress(), 1), 0);
    }

    private Connection dial(InetSocketAddress address, Function<Connection, ConnectionHandler> handlers) {
        return socket.connect(loop, handlers);
    }

    private static final class Attempt implements AttemptListener {
        Exchange exchange;
        Result result;

        @Override
        public void ended(Result reported, CacheStatus cacheStatus, long waitedUs, UpstreamResponse response) {
            result = reported;
        }
    }

    private Attempt send(String id, int bodyBytes) {
        Attempt attempt = new Attempt();
        ClientRequest request =
                new ClientRequest(id, 0, "page", "aa", 0, 17, 1, 1_000_000, false, null, null, new byte[bodyBytes]);
        attempt.exchange = pool.send(
                new AttemptOrder(request, "m", TIMEOUT_MS * 1000L, null, 0, 0, false, false, false, false), attempt);
        return attempt;
    }

    private void connect() throws IOException {
        socket.reportReady();
        loop.turn(0);
    }

    private void turns(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            if (socket.isAwaitedWritable()) {
                socket.reportReady();
            }
            loop.turn(0);
        }
    }

    /** Returns the {@code ms=} values written so far, in order. */
    private List<Integer> deadlinesMs() {
        return MS_FIELD.matcher(socket.written).results().map(field -> Integer.valueOf(field.group(1))).toList();
    }

    @Nested
    class BlockedSocket {

        @Test
        void writesTimeLeftInEachHeadWhenSocketIsWritableAgain() throws IOException {
            Attempt first = send("00000000000000a1", 0);
            Attempt second = send("00000000000000a2", 0);
            socket.writes.add(0);
            connect();
            assertThat(first.exchange.begun()).as("begun before anything was written").isFalse();
            assertThat(socket.isAwaitedWritable()).isTrue();
            clock.passMs(300);
            turns(2);
            assertThat(deadlinesMs()).containsExactly(700, 700);
            assertThat(first.exchange.begun() && second.exchange.begun()).isTrue();
        }

        @Test
        void writesNothingOfCancelledRequest() throws IOException {
            Attempt first = send("00000000000000a1", 0);
            send("00000000000000a2", 0);
            socket.writes.add(0);
            connect();
            assertThat(first.exchange.cancel()).as("has begun").isFalse();
            turns(2);
            assertThat(socket.written.toString()).doesNotContain("00000000000000a1").contains("00000000000000a2");
        }

        @Test
        void withdrawsUnbegunRequestAfterDialTimeout() throws IOException {
            Attempt first = send("00000000000000a1", 0);
            socket.writes.add(0);
            connect();
            clock.passUs(DIAL_TIMEOUT_US);
            loop.turn(0);
            assertThat(first.result).isEqualTo(Result.CONNECT_FAILED);
            turns(2);
            assertThat(socket.written).isEmpty();
        }
    }

    @Nested
    class LargeBodyAhead {

        @Test
        void writesTimeLeftInNextHeadAfterBlockedBody() throws IOException {
            send("00000000000000a1", LARGE_BODY_BYTES);
            Attempt behind = send("00000000000000a2", 0);
            socket.writes.addAll(List.of(1000, 0));
            connect();
            assertThat(behind.exchange.begun()).isFalse();
            clock.passMs(300);
            turns(3);
            assertThat(deadlinesMs()).containsExactly(1000, 700);
        }

        @Test
        void writesTimeLeftInNextHeadAfterBlockedBodyInSameWrite() throws IOException {
            send("00000000000000a1", 0);
            send("00000000000000a2", 20_000);
            send("00000000000000a3", 20_000);
            socket.writes.addAll(List.of(5000, 0));
            connect();
            clock.passMs(300);
            turns(3);
            assertThat(deadlinesMs()).containsExactly(1000, 1000, 700);
        }
    }

    @Nested
    class PartlyWrittenHead {

        @Test
        void closesConnectionWhenRestWaitsLongerThanSlack() throws IOException {
            Attempt partlyWritten = send("00000000000000a1", 0);
            socket.writes.addAll(List.of(10, 0));
            connect();
            clock.passMs(150);
            turns(2);
            assertThat(partlyWritten.result).isEqualTo(Result.NOT_SENT);
            assertThat(socket.written).hasSize(10);
        }

        @Test
        void continuesWhenRestWaitsLessThanSlack() throws IOException {
            Attempt partlyWritten = send("00000000000000a1", 0);
            socket.writes.addAll(List.of(10, 0));
            connect();
            clock.passMs(140);
            turns(2);
            assertThat(partlyWritten.result).isNull();
            assertThat(deadlinesMs()).containsExactly(1000);
        }
    }

    @Test
    void sendsManySmallRequestsOfOneTurnInOneWrite() throws IOException {
        for (int i = 100; i < 200; i++) {
            send("0000000000000" + i, 0);
        }
        socket.writes.addAll(List.of(1 << 16, 0));
        connect();
        assertThat(deadlinesMs()).hasSize(100);
        assertThat(socket.writes).as("scripted results left after one write").hasSize(1);
    }

    @Test
    void sendsSecondBatchInNextTurn() throws IOException {
        for (int i = 100; i < 104; i++) {
            send("0000000000000" + i, 40_000);
        }
        connect();
        assertThat(deadlinesMs()).hasSize(2);
        loop.turn(0);
        assertThat(deadlinesMs()).hasSize(4);
    }
}
