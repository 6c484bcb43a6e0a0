package clovermill.cache;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.CacheRouter.Note;
import clovermill.CacheRouter.Result;
import clovermill.host.Answer;
import clovermill.host.Ask;
import clovermill.host.Upstream;
import clovermill.net.Budget;
import clovermill.net.Clock;
import clovermill.net.Connection;
import clovermill.net.Deadlines;
import clovermill.net.EventLoop;
import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** A dial that fails at once: what this machine lacks for a moment speaks against no member, and is tried again. */
class DelayedDialTest {

    private static final long DIAL_US = 400_000;

    private long nowUs = 1_000_000;
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
    private final Deadlines deadlines = new Deadlines();
    private final Deque<IOException> failures = new ArrayDeque<>();
    private final List<Connection> connections = new ArrayList<>();
    private final List<Result> results = new ArrayList<>();
    private boolean mayBegin = true;
    private EventLoop loop;
    private CachePool pool;
    private ServerSocketChannel member;

    @BeforeEach
    void open() throws IOException {
        loop = new EventLoop(clock, deadlines);
        pool = new CachePool(this::connect, clock, deadlines, new Budget(1 << 20),
                new CachePool.Limits(31, 40, DIAL_US, 30_000_000));
        member = ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        pool.listed("m", (InetSocketAddress) member.getLocalAddress(), 0);
    }

    @AfterEach
    void close() throws IOException {
        connections.forEach(Connection::close);
        member.close();
    }

    private Connection connect(InetSocketAddress address, Function<Connection, Connection.Handler> handlers)
            throws IOException {
        if (!failures.isEmpty()) {
            throw failures.poll();
        }
        Connection connection = loop.connect(address, handlers);
        connections.add(connection);
        return connection;
    }

    private Upstream.Exchange send(String id, String object, String source, long timeoutUs) {
        Ask ask = new Ask(id, 0, "page", object, 0, 17, 1, timeoutUs, false, null, null, new byte[0]);
        return pool.send(new Upstream.Order(ask, "m", timeoutUs, source, 0, 0, false, false, false, false),
                new Upstream.Ending() {
                    @Override
                    public boolean mayBegin() {
                        return mayBegin;
                    }

                    @Override
                    public void ended(Result result, Note note, long waitedUs, Answer answer) {
                        results.add(result);
                    }
                });
    }

    private Upstream.Exchange send() {
        return send("00000000000000a1", "aa", "p", 1_000_000);
    }

    private void pass(long us) {
        for (long end = nowUs + us; nowUs < end;) {
            nowUs += DelayedDial.PAUSE_US;
            deadlines.sweep(nowUs);
        }
    }

    static Stream<IOException> ofThisMachine() {
        return Stream.of(new BindException("Cannot assign requested address"),
                new SocketException("Network is unreachable"), new SocketException("No buffer space available"),
                new SocketException("Too many open files"), new SocketException("Too many open files in system"),
                new SocketException("Cannot allocate memory"), new SocketException("Operation not permitted"),
                new SocketException("Resource temporarily unavailable"));
    }

    static Stream<IOException> ofThePeer() {
        return Stream.of(new ConnectException("Connection refused"), new ConnectException("Connection timed out"),
                new NoRouteToHostException("No route to host"), new IOException(new IllegalArgumentException()));
    }

    @ParameterizedTest
    @MethodSource("ofThisMachine")
    void whatThisMachineLacksForAMomentDelaysTheRequest(IOException failure) throws IOException {
        failures.addAll(List.of(failure, failure));
        Upstream.Exchange exchange = send();
        assertThat(results).isEmpty();
        assertThat(exchange.heldHere()).isTrue();
        pass(2 * DelayedDial.PAUSE_US);
        assertThat(connections).hasSize(1);
        for (int i = 0; i < 1000 && !exchange.begun(); i++) {
            loop.turn(1);
        }
        assertThat(exchange.begun()).isTrue();
        assertThat(results).isEmpty();
    }

    @ParameterizedTest
    @MethodSource("ofThePeer")
    void aPeerThatCannotBeDialledIsUnconnectedAtOnce(IOException failure) {
        failures.add(failure);
        send();
        assertThat(results).containsExactly(Result.UNCONNECTED);
    }

    @Test
    void troubleThatLastsEndsAsNotSentWithinTheTimeOfADial() {
        failures.addAll(Collections.nCopies(1000, new SocketException("No buffer space available")));
        send();
        pass(DIAL_US);
        assertThat(results).containsExactly(Result.NOT_SENT);
        assertThat(deadlines.size()).isZero();
    }

    @Test
    void aRequestWhoseTimeIsOverIsNotDialledFor() {
        failures.addAll(Collections.nCopies(3, new SocketException("No buffer space available")));
        send("00000000000000a1", "aa", "p", 50_000);
        pass(DIAL_US);
        assertThat(results).containsExactly(Result.NOT_SENT);
        assertThat(connections).isEmpty();
    }

    @Test
    void whatIsGivenUpOrNoLongerWantedIsNotDialledFor() {
        failures.addAll(Collections.nCopies(2, new SocketException("No buffer space available")));
        Upstream.Exchange exchange = send();
        assertThat(exchange.giveUp()).isFalse();
        send("00000000000000a2", "aa", "p", 1_000_000);
        mayBegin = false;
        pass(DIAL_US);
        assertThat(results).containsExactly(Result.NOT_SENT);
        assertThat(connections).isEmpty();
    }

    @Test
    void aPurgeAndADrainWithdrawWhatWaitsForADial() {
        failures.addAll(Collections.nCopies(4, new SocketException("No buffer space available")));
        send("00000000000000a1", "aa", "p", 1_000_000);
        send("00000000000000a2", "bb", "p", 1_000_000);
        pool.withdraw(ask -> ask.object().equals("aa"));
        assertThat(results).hasSize(1);
        pool.withdraw(Set.of("p"));
        assertThat(results).hasSize(2);
        send("00000000000000a3", "aa", null, 1_000_000);
        send("00000000000000a4", "aa", null, 1_000_000);
        pool.withdraw(Set.of("m"));
        assertThat(results).hasSize(4).containsOnly(Result.NOT_SENT);
        assertThat(deadlines.size()).isZero();
    }

    /** A further connection that cannot be dialled costs nothing where there is one. */
    @Test
    void aFurtherConnectionThatCannotBeDialledCostsNothing() throws IOException {
        Upstream.Exchange first = send();
        for (int i = 0; i < 1000 && !first.begun(); i++) {
            loop.turn(1);
        }
        send("00000000000000a2", "aa", "p", 1_000_000);
        failures.add(new SocketException("Too many open files"));
        Upstream.Exchange third = send("00000000000000a3", "aa", "p", 1_000_000);
        assertThat(failures).isEmpty();
        loop.turn(1);
        assertThat(third.begun()).isTrue();
        assertThat(results).isEmpty();
    }
}
