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

/** Tests that a dial is retried after a local failure, which does not count against the member. */
class DelayedDialTest {

    private static final long DIAL_TIMEOUT_US = 400_000;

    private final ManualClock clock = new ManualClock(1_000_000);
    private final Deadlines deadlines = new Deadlines();
    private final Deque<IOException> failures = new ArrayDeque<>();
    private final List<Connection> connections = new ArrayList<>();
    private final List<Result> results = new ArrayList<>();
    private boolean mayBegin = true;
    private EventLoop loop;
    private UpstreamPool pool;
    private ServerSocketChannel member;

    @BeforeEach
    void open() throws IOException {
        loop = new EventLoop(clock, deadlines);
        pool = new UpstreamPool(this::connect, clock, deadlines, new Budget(1 << 20),
                new UpstreamPool.Limits(31, 40, DIAL_TIMEOUT_US, 30_000_000));
        member = ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        pool.updateMember("m", (InetSocketAddress) member.getLocalAddress(), 0);
    }

    @AfterEach
    void close() throws IOException {
        connections.forEach(Connection::close);
        member.close();
    }

    private Connection connect(InetSocketAddress address, Function<Connection, ConnectionHandler> handlers)
            throws IOException {
        if (!failures.isEmpty()) {
            throw failures.poll();
        }
        Connection connection = loop.connect(address, handlers);
        connections.add(connection);
        return connection;
    }

    private Exchange send(String id, String object, String source, long timeoutUs) {
        ClientRequest request =
                new ClientRequest(id, 0, "page", object, 0, 17, 1, timeoutUs, false, null, null, new byte[0]);
        return pool.send(new AttemptOrder(request, "m", timeoutUs, source, 0, 0, false, false, false, false),
                new AttemptListener() {
                    @Override
                    public boolean mayBegin() {
                        return mayBegin;
                    }

                    @Override
                    public void ended(Result result, CacheStatus cacheStatus, long waitedUs,
                            UpstreamResponse response) {
                        results.add(result);
                    }
                });
    }

    private Exchange send() {
        return send("00000000000000a1", "aa", "p", 1_000_000);
    }

    private void passUs(long us) {
        for (long end = clock.micros() + us; clock.micros() < end;) {
            clock.passUs(DelayedDial.RETRY_INTERVAL_US);
            deadlines.sweep(clock.micros());
        }
    }

    static Stream<IOException> localFailures() {
        return Stream.of(new BindException("Cannot assign requested address"),
                new SocketException("Network is unreachable"), new SocketException("No buffer space available"),
                new SocketException("Too many open files"), new SocketException("Too many open files in system"),
                new SocketException("Cannot allocate memory"), new SocketException("Operation not permitted"),
                new SocketException("Resource temporarily unavailable"));
    }

    static Stream<IOException> peerFailures() {
        return Stream.of(new ConnectException("Connection refused"), new ConnectException("Connection timed out"),
                new NoRouteToHostException("No route to host"), new IOException(new IllegalArgumentException()));
    }

    @ParameterizedTest
    @MethodSource("localFailures")
    void retriesDialAfterLocalFailure(IOException failure) throws IOException {
        failures.addAll(List.of(failure, failure));
        Exchange exchange = send();
        assertThat(results).isEmpty();
        assertThat(exchange.isQueuedLocally()).isTrue();
        passUs(2 * DelayedDial.RETRY_INTERVAL_US);
        assertThat(connections).hasSize(1);
        for (int i = 0; i < 1000 && !exchange.begun(); i++) {
            loop.turn(1);
        }
        assertThat(exchange.begun()).isTrue();
        assertThat(results).isEmpty();
    }

    @ParameterizedTest
    @MethodSource("peerFailures")
    void endsRequestImmediatelyWhenPeerFailsDial(IOException failure) {
        failures.add(failure);
        send();
        assertThat(results).containsExactly(Result.CONNECT_FAILED);
    }

    @Test
    void endsRequestAsNotSentAfterDialTimeoutOfLocalFailures() {
        failures.addAll(Collections.nCopies(1000, new SocketException("No buffer space available")));
        send();
        passUs(DIAL_TIMEOUT_US);
        assertThat(results).containsExactly(Result.NOT_SENT);
        assertThat(deadlines.size()).isZero();
    }

    @Test
    void doesNotDialAfterRequestDeadline() {
        failures.addAll(Collections.nCopies(3, new SocketException("No buffer space available")));
        send("00000000000000a1", "aa", "p", 50_000);
        passUs(DIAL_TIMEOUT_US);
        assertThat(results).containsExactly(Result.NOT_SENT);
        assertThat(connections).isEmpty();
    }

    @Test
    void doesNotDialForCancelledOrAbandonedRequest() {
        failures.addAll(Collections.nCopies(2, new SocketException("No buffer space available")));
        Exchange exchange = send();
        assertThat(exchange.cancel()).isFalse();
        send("00000000000000a2", "aa", "p", 1_000_000);
        mayBegin = false;
        passUs(DIAL_TIMEOUT_US);
        assertThat(results).containsExactly(Result.NOT_SENT);
        assertThat(connections).isEmpty();
    }

    @Test
    void withdrawsDelayedDialsOnPurgeAndDrain() {
        failures.addAll(Collections.nCopies(4, new SocketException("No buffer space available")));
        send("00000000000000a1", "aa", "p", 1_000_000);
        send("00000000000000a2", "bb", "p", 1_000_000);
        pool.withdraw(request -> request.object().equals("aa"));
        assertThat(results).hasSize(1);
        pool.withdraw(Set.of("p"));
        assertThat(results).hasSize(2);
        send("00000000000000a3", "aa", null, 1_000_000);
        send("00000000000000a4", "aa", null, 1_000_000);
        pool.withdraw(Set.of("m"));
        assertThat(results).hasSize(4).containsOnly(Result.NOT_SENT);
        assertThat(deadlines.size()).isZero();
    }

    /** The request must be sent on the established connection instead. */
    @Test
    void ignoresFailedFurtherDialWhileConnectionIsEstablished() throws IOException {
        Exchange first = send();
        for (int i = 0; i < 1000 && !first.begun(); i++) {
            loop.turn(1);
        }
        send("00000000000000a2", "aa", "p", 1_000_000);
        failures.add(new SocketException("Too many open files"));
        Exchange third = send("00000000000000a3", "aa", "p", 1_000_000);
        assertThat(failures).isEmpty();
        loop.turn(1);
        assertThat(third.begun()).isTrue();
        assertThat(results).isEmpty();
    }
}
