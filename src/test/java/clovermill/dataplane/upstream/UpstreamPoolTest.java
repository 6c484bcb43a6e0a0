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
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import clovermill.runtime.net.ManualClock;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests connections to a member that reads nothing, or whose responses are duplicated or never complete. */
class UpstreamPoolTest {

    private static final long DIAL_TIMEOUT_US = 400_000;
    /** More than the socket buffers of both sides hold while the member reads nothing. */
    private static final int LARGE_BODY_BYTES = 8 << 20;

    private final ManualClock clock = new ManualClock(1_000_000);
    private final Deadlines deadlines = new Deadlines();
    private final List<SocketChannel> accepted = new ArrayList<>();
    private final StringBuilder read = new StringBuilder();
    private int searchStart;
    private EventLoop loop;
    private UpstreamPool pool;
    private ServerSocketChannel member;

    @BeforeEach
    void open() throws IOException {
        loop = new EventLoop(clock, deadlines);
        pool = new UpstreamPool(loop, clock, deadlines, new Budget(1 << 20),
                new UpstreamPool.Limits(31, 40, DIAL_TIMEOUT_US, 30_000_000));
        member = ServerSocketChannel.open();
        member.setOption(StandardSocketOptions.SO_RCVBUF, 1 << 16);
        member.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        member.configureBlocking(false);
        pool.updateMember("m", (InetSocketAddress) member.getLocalAddress(), 0);
    }

    @AfterEach
    void close() throws IOException {
        member.close();
        for (SocketChannel each : accepted) {
            each.close();
        }
    }

    /** An attempt that records its result. */
    private static final class Attempt implements AttemptListener {
        Exchange exchange;
        boolean mayBegin = true;
        boolean mayContinue = true;
        Result result;

        @Override
        public boolean mayBegin() {
            return mayBegin;
        }

        @Override
        public boolean mayContinue() {
            return mayContinue;
        }

        @Override
        public void ended(Result reported, CacheStatus cacheStatus, long waitedUs, UpstreamResponse response) {
            result = reported;
            if (response != null) {
                response.body().close();
            }
        }
    }

    private Attempt send(String id, String object, String source, int bodyBytes) {
        return send(id, object, source, bodyBytes, 1_000_000);
    }

    private Attempt send(String id, String object, String source, int bodyBytes, long timeoutUs) {
        Attempt attempt = new Attempt();
        ClientRequest request =
                new ClientRequest(id, 0, "page", object, 0, 17, 1, 1_000_000, false, null, null, new byte[bodyBytes]);
        attempt.exchange =
                pool.send(new AttemptOrder(request, "m", timeoutUs, source, 0, 0, false, false, false, false),
                        attempt);
        return attempt;
    }

    private void runUntil(BooleanSupplier reached) throws IOException {
        for (int i = 0; i < 5000 && !reached.getAsBoolean(); i++) {
            turn();
        }
        assertThat(reached.getAsBoolean()).isTrue();
    }

    private void turn() throws IOException {
        loop.turn(1);
        for (SocketChannel each; (each = member.accept()) != null;) {
            each.configureBlocking(false);
            accepted.add(each);
        }
    }

    /**
     * Reads from the member's newest connection until {@code text} or the end of input; returns whether it was read.
     */
    private boolean readUntil(String text) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(1 << 20);
        SocketChannel newest = accepted.get(accepted.size() - 1);
        for (int i = 0; i < 5000 && read.indexOf(text, searchStart) < 0; i++) {
            turn();
            for (int count; (count = newest.read(buffer.clear())) != 0;) {
                if (count < 0) {
                    return false;
                }
                searchStart = Math.max(0, read.length() - text.length());
                read.append(StandardCharsets.ISO_8859_1.decode(buffer.flip()));
                loop.turn(0);
            }
        }
        return read.indexOf(text, searchStart) >= 0;
    }

    /** Sends an attempt whose write blocks after a part of it. */
    private Attempt sendBlocked() throws IOException {
        Attempt first = send("00000000000000a1", "aa", "p", LARGE_BODY_BYTES);
        runUntil(() -> !accepted.isEmpty() && first.exchange.begun());
        for (int i = 0; i < 50; i++) {
            turn();
        }
        return first;
    }

    @Test
    void doesNotBeginQueuedRequestWhoseClientNoLongerWaits() throws IOException {
        sendBlocked();
        Attempt queued = send("00000000000000a2", "bb", "p", 0);
        Attempt behind = send("00000000000000a3", "bb", "p", 0);
        queued.mayBegin = false;
        assertThat(readUntil("want 00000000000000a3")).isTrue();
        assertThat(queued.result).isEqualTo(Result.NOT_SENT);
        assertThat(read.indexOf("want 00000000000000a2")).isNegative();
        assertThat(behind.result).isNull();
    }

    @Test
    void closesConnectionWhenPartlyWrittenRequestMayNotContinue() throws IOException {
        Attempt partlyWritten = sendBlocked();
        partlyWritten.mayContinue = false;
        assertThat(readUntil("never")).isFalse();
        assertThat(read.length()).isLessThan(LARGE_BODY_BYTES);
        assertThat(partlyWritten.result).isEqualTo(Result.NOT_SENT);
    }

    @Test
    void closesConnectionWhenPartlyWrittenCancelledRequestMayNotContinue() throws IOException {
        Attempt partlyWritten = sendBlocked();
        assertThat(partlyWritten.exchange.cancel()).isTrue();
        partlyWritten.mayContinue = false;
        assertThat(readUntil("never_mind")).isFalse();
        assertThat(read.length()).isLessThan(LARGE_BODY_BYTES);
    }

    @Test
    void withdrawsRequestsForPurgedObjectWhileWriteIsBlocked() throws IOException {
        Attempt partlyWritten = sendBlocked();
        Attempt same = send("00000000000000a2", "aa", "p", 0);
        Attempt other = send("00000000000000a3", "bb", "p", 0);
        pool.withdraw(request -> request.object().equals("aa"));
        assertThat(same.result).isEqualTo(Result.NOT_SENT);
        assertThat(other.result).isNull();
        assertThat(readUntil("never")).isFalse();
        assertThat(partlyWritten.result).isEqualTo(Result.NOT_SENT);
    }

    /** The member itself is healthy; only the source of its fills drains. */
    @Test
    void endsFillsFromDrainedSourceAsNotSent() throws IOException {
        Attempt partlyWritten = sendBlocked();
        Attempt queued = send("00000000000000a2", "bb", "p", 0);
        Attempt elsewhere = send("00000000000000a3", "bb", "q", 0);
        pool.withdraw(Set.of("p"));
        assertThat(queued.result).isEqualTo(Result.NOT_SENT);
        assertThat(elsewhere.result).isNull();
        assertThat(readUntil("never")).isFalse();
        assertThat(partlyWritten.result).isEqualTo(Result.NOT_SENT);
    }

    /** Requests that are not filled on a miss have no source. */
    @Test
    void keepsRequestsWithoutSourceWhenAnotherMemberDrains() throws IOException {
        Attempt begun = send("00000000000000a1", "aa", null, 0);
        runUntil(() -> !accepted.isEmpty() && begun.exchange.begun());
        Attempt queued = send("00000000000000a2", "bb", null, 0);
        pool.withdraw(Set.of("p"));
        assertThat(readUntil("want 00000000000000a2")).isTrue();
        assertThat(begun.result).isNull();
        assertThat(queued.result).isNull();
    }

    /** A duplicate response, some milliseconds late, must not end a further attempt of the same request. */
    @Test
    void usesAnotherConnectionForFurtherAttemptWithAnsweredId() throws IOException {
        Attempt first = send("00000000000000a1", "aa", null, 0);
        runUntil(() -> !accepted.isEmpty() && first.exchange.begun());
        respond(0, "00000000000000a1 LACK - 0\r\n\r\n");
        runUntil(() -> first.result == Result.MISS);
        Attempt further = send("00000000000000a1", "aa", null, 0);
        runUntil(() -> accepted.size() == 2 && further.exchange.begun());
        respond(0, "00000000000000a1 LACK - 0\r\n\r\n");
        for (int i = 0; i < 50; i++) {
            turn();
        }
        assertThat(further.result).isNull();
        respond(1, "00000000000000a1 DONE made=5 5\r\nhello\r\n");
        runUntil(() -> further.result == Result.OK);
    }

    /** The response arrives byte by byte, so the stall timeout does not apply. */
    @Test
    void closesConnectionOfEndlessCancelledResponseWithinDialTimeout() throws IOException {
        Attempt endless = send("00000000000000a1", "aa", null, 0);
        Attempt behind = send("00000000000000a2", "bb", null, 0);
        runUntil(() -> !accepted.isEmpty() && endless.exchange.begun() && behind.exchange.begun());
        respond(0, "00000000000000a1 DONE made=5 9000\r\n");
        for (int i = 0; i < 20; i++) {
            respond(0, "x");
            turn();
        }
        endless.exchange.cancel();
        for (int i = 0; i < 9 && behind.result == null; i++) {
            clock.passUs(DIAL_TIMEOUT_US / 8);
            respond(0, "x");
            turn();
        }
        assertThat(behind.result).isEqualTo(Result.CONNECTION_LOST);
    }

    /** A cancelled response that progresses must not fail the responses behind it. */
    @Test
    void keepsConnectionWhileLargeCancelledResponseProgresses() throws IOException {
        Attempt large = send("00000000000000a1", "aa", null, 0);
        Attempt behind = send("00000000000000a2", "bb", null, 0);
        runUntil(() -> !accepted.isEmpty() && large.exchange.begun() && behind.exchange.begun());
        respond(0, "00000000000000a1 DONE made=5 200000\r\n" + "x".repeat(20_000));
        for (int i = 0; i < 20; i++) {
            turn();
        }
        large.exchange.cancel();
        for (int part = 0; part < 18; part++) {
            respond(0, "x".repeat(10_000));
            for (int i = 0; i < 20; i++) {
                turn();
            }
            clock.passUs(DIAL_TIMEOUT_US / 2);
        }
        respond(0, "\r\n00000000000000a2 DONE made=5 5\r\nhello\r\n");
        runUntil(() -> behind.result != null);
        assertThat(behind.result).isEqualTo(Result.OK);
    }

    /** The connection is established 300 ms after the request was queued. */
    @Test
    void sendsTimeLeftAtWriteAfterSlowDial() throws IOException {
        Attempt queued = send("00000000000000a1", "aa", null, 0);
        clock.passUs(300_000);
        runUntil(() -> !accepted.isEmpty() && queued.exchange.begun());
        assertThat(readUntil("ms=700 0")).isTrue();
    }

    @Test
    void doesNotWriteQueuedRequestAfterItsDeadline() throws IOException {
        sendBlocked();
        Attempt late = send("00000000000000a2", "bb", null, 0, 100_000);
        Attempt inTime = send("00000000000000a3", "bb", null, 0, 100_001);
        clock.passUs(100_000);
        assertThat(readUntil("want 00000000000000a3")).isTrue();
        assertThat(late.result).isEqualTo(Result.NOT_SENT);
        assertThat(inTime.result).isNull();
        assertThat(read.indexOf("want 00000000000000a2")).isNegative();
    }

    private void respond(int connection, String text) throws IOException {
        accepted.get(connection).write(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
    }
}
