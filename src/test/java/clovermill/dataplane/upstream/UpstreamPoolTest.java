package clovermill.dataplane.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.dataplane.proxy.AttemptListener;
import clovermill.dataplane.proxy.AttemptOrder;
import clovermill.dataplane.proxy.ClientRequest;
import clovermill.dataplane.proxy.Exchange;
import clovermill.dataplane.proxy.UpstreamResponse;
import clovermill.routing.api.Note;
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

/** Connections to a member that reads nothing, or whose responses are duplicated or never end. */
class UpstreamPoolTest {

    private static final long DIAL_US = 400_000;
    /** More than the sockets of both sides hold while the member reads nothing. */
    private static final int LARGE = 8 << 20;

    private final ManualClock clock = new ManualClock(1_000_000);
    private final Deadlines deadlines = new Deadlines();
    private final List<SocketChannel> accepted = new ArrayList<>();
    private final StringBuilder read = new StringBuilder();
    private int searched;
    private EventLoop loop;
    private UpstreamPool pool;
    private ServerSocketChannel member;

    @BeforeEach
    void open() throws IOException {
        loop = new EventLoop(clock, deadlines);
        pool = new UpstreamPool(loop, clock, deadlines, new Budget(1 << 20),
                new UpstreamPool.Limits(31, 40, DIAL_US, 30_000_000));
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

    /** One attempt, with its result. */
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
        public void ended(Result reported, Note note, long waitedUs, UpstreamResponse response) {
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

    private void until(BooleanSupplier reached) throws IOException {
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

    /** Has the member read what comes, on its newest connection, until it has read that; or to the end. */
    private boolean reads(String text) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(1 << 20);
        SocketChannel newest = accepted.get(accepted.size() - 1);
        for (int i = 0; i < 5000 && read.indexOf(text, searched) < 0; i++) {
            turn();
            for (int count; (count = newest.read(buffer.clear())) != 0;) {
                if (count < 0) {
                    return false;
                }
                searched = Math.max(0, read.length() - text.length());
                read.append(StandardCharsets.ISO_8859_1.decode(buffer.flip()));
                loop.turn(0);
            }
        }
        return read.indexOf(text, searched) >= 0;
    }

    /** An attempt of which a part waits in vain to be written. */
    private Attempt stuck() throws IOException {
        Attempt first = send("00000000000000a1", "aa", "p", LARGE);
        until(() -> !accepted.isEmpty() && first.exchange.begun());
        for (int i = 0; i < 50; i++) {
            turn();
        }
        return first;
    }

    @Test
    void givenABlockedWriteWhenAQueuedRequestIsNotWantedAnyMoreThenItNeverBegins() throws IOException {
        stuck();
        Attempt queued = send("00000000000000a2", "bb", "p", 0);
        Attempt behind = send("00000000000000a3", "bb", "p", 0);
        queued.mayBegin = false;
        assertThat(reads("want 00000000000000a3")).isTrue();
        assertThat(queued.result).isEqualTo(Result.NOT_SENT);
        assertThat(read.indexOf("want 00000000000000a2")).isNegative();
        assertThat(behind.result).isNull();
    }

    @Test
    void givenAPartlyWrittenRequestWhenItMayNotContinueThenTheConnectionIsClosed() throws IOException {
        Attempt half = stuck();
        half.mayContinue = false;
        assertThat(reads("never")).isFalse();
        assertThat(read.length()).isLessThan(LARGE);
        assertThat(half.result).isEqualTo(Result.NOT_SENT);
    }

    @Test
    void givenAPartlyWrittenCancelledRequestWhenItMayNotContinueThenTheConnectionIsClosed() throws IOException {
        Attempt half = stuck();
        assertThat(half.exchange.cancel()).isTrue();
        half.mayContinue = false;
        assertThat(reads("never_mind")).isFalse();
        assertThat(read.length()).isLessThan(LARGE);
    }

    @Test
    void givenABlockedWriteWhenAnObjectIsPurgedThenItsRequestsAreWithdrawn() throws IOException {
        Attempt half = stuck();
        Attempt same = send("00000000000000a2", "aa", "p", 0);
        Attempt other = send("00000000000000a3", "bb", "p", 0);
        pool.withdraw(ask -> ask.object().equals("aa"));
        assertThat(same.result).isEqualTo(Result.NOT_SENT);
        assertThat(other.result).isNull();
        assertThat(reads("never")).isFalse();
        assertThat(half.result).isEqualTo(Result.NOT_SENT);
    }

    /** The member is fit: only its source drains. */
    @Test
    void givenABlockedWriteWhenTheSourceDrainsThenItsFillsEndAsNotSent() throws IOException {
        Attempt half = stuck();
        Attempt queued = send("00000000000000a2", "bb", "p", 0);
        Attempt elsewhere = send("00000000000000a3", "bb", "q", 0);
        pool.withdraw(Set.of("p"));
        assertThat(queued.result).isEqualTo(Result.NOT_SENT);
        assertThat(elsewhere.result).isNull();
        assertThat(reads("never")).isFalse();
        assertThat(half.result).isEqualTo(Result.NOT_SENT);
    }

    /** An order, or a request that is not filled on a miss. */
    @Test
    void givenRequestsWithoutASourceWhenAnotherMemberDrainsThenTheyGoOn() throws IOException {
        Attempt begun = send("00000000000000a1", "aa", null, 0);
        until(() -> !accepted.isEmpty() && begun.exchange.begun());
        Attempt queued = send("00000000000000a2", "bb", null, 0);
        pool.withdraw(Set.of("p"));
        assertThat(reads("want 00000000000000a2")).isTrue();
        assertThat(begun.result).isNull();
        assertThat(queued.result).isNull();
    }

    /** A second copy of an answer, some milliseconds late, must not end a further attempt of the same request. */
    @Test
    void givenAnAnsweredIdThenAFurtherAttemptUsesAnotherConnection() throws IOException {
        Attempt first = send("00000000000000a1", "aa", null, 0);
        until(() -> !accepted.isEmpty() && first.exchange.begun());
        answer(0, "00000000000000a1 LACK - 0\r\n\r\n");
        until(() -> first.result == Result.MISS);
        Attempt further = send("00000000000000a1", "aa", null, 0);
        until(() -> accepted.size() == 2 && further.exchange.begun());
        answer(0, "00000000000000a1 LACK - 0\r\n\r\n");
        for (int i = 0; i < 50; i++) {
            turn();
        }
        assertThat(further.result).isNull();
        answer(1, "00000000000000a1 DONE made=5 5\r\nhello\r\n");
        until(() -> further.result == Result.OK);
    }

    /** It arrives byte by byte, so that the stall timeout does not end it. */
    @Test
    void givenACancelledResponseThatNeverEndsThenTheConnectionIsClosedWithinADialsTime() throws IOException {
        Attempt endless = send("00000000000000a1", "aa", null, 0);
        Attempt behind = send("00000000000000a2", "bb", null, 0);
        until(() -> !accepted.isEmpty() && endless.exchange.begun() && behind.exchange.begun());
        answer(0, "00000000000000a1 DONE made=5 9000\r\n");
        for (int i = 0; i < 20; i++) {
            answer(0, "x");
            turn();
        }
        endless.exchange.cancel();
        for (int i = 0; i < 9 && behind.result == null; i++) {
            clock.passUs(DIAL_US / 8);
            answer(0, "x");
            turn();
        }
        assertThat(behind.result).isEqualTo(Result.BROKEN);
    }

    /** Cancelled by its client; the responses behind it arrive. */
    @Test
    void givenACancelledLargeResponseThatProgressesThenTheOthersAreAnswered() throws IOException {
        Attempt large = send("00000000000000a1", "aa", null, 0);
        Attempt behind = send("00000000000000a2", "bb", null, 0);
        until(() -> !accepted.isEmpty() && large.exchange.begun() && behind.exchange.begun());
        answer(0, "00000000000000a1 DONE made=5 200000\r\n" + "x".repeat(20_000));
        for (int i = 0; i < 20; i++) {
            turn();
        }
        large.exchange.cancel();
        for (int part = 0; part < 18; part++) {
            answer(0, "x".repeat(10_000));
            for (int i = 0; i < 20; i++) {
                turn();
            }
            clock.passUs(DIAL_US / 2);
        }
        answer(0, "\r\n00000000000000a2 DONE made=5 5\r\nhello\r\n");
        until(() -> behind.result != null);
        assertThat(behind.result).isEqualTo(Result.OK);
    }

    /** The connection comes up 300 ms after the request was queued. */
    @Test
    void givenASlowDialThenTheRequestPassesTheTimeLeftAtItsWrite() throws IOException {
        Attempt queued = send("00000000000000a1", "aa", null, 0);
        clock.passUs(300_000);
        until(() -> !accepted.isEmpty() && queued.exchange.begun());
        assertThat(reads("ms=700 0")).isTrue();
    }

    @Test
    void givenABlockedWriteWhenTheTimeIsOverThenTheRequestIsNotWritten() throws IOException {
        stuck();
        Attempt late = send("00000000000000a2", "bb", null, 0, 100_000);
        Attempt inTime = send("00000000000000a3", "bb", null, 0, 100_001);
        clock.passUs(100_000);
        assertThat(reads("want 00000000000000a3")).isTrue();
        assertThat(late.result).isEqualTo(Result.NOT_SENT);
        assertThat(inTime.result).isNull();
        assertThat(read.indexOf("want 00000000000000a2")).isNegative();
    }

    private void answer(int connection, String text) throws IOException {
        accepted.get(connection).write(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
    }
}
