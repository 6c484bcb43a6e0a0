package clovermill.runtime.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A listener continues accepting after an error of one connection, and pauses when the machine is out of resources.
 */
class ListenerFaultsTest {

    private final ManualClock clock = new ManualClock(1_000_000);
    private final Deque<IOException> failures = new ArrayDeque<>();
    private int interrupted;
    private final List<Connection> accepted = new ArrayList<>();
    private final List<SocketChannel> clients = new ArrayList<>();
    private EventLoop loop;
    private ServerSocketChannel channel;
    private Listener listener;

    @BeforeEach
    void open() throws IOException {
        loop = new EventLoop(clock, new Deadlines());
        channel = ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        listener = loop.listenOn(channel, this::accept, 100, this::handler);
    }

    @AfterEach
    void close() throws IOException {
        accepted.forEach(Connection::close);
        for (SocketChannel client : clients) {
            client.close();
        }
        channel.close();
    }

    private SocketChannel accept() throws IOException {
        if (!failures.isEmpty()) {
            throw failures.poll();
        }
        if (interrupted > 0) {
            interrupted--;
            return null;
        }
        return channel.accept();
    }

    private ConnectionHandler handler(Connection connection) {
        accepted.add(connection);
        return new ConnectionHandler() {
            @Override
            public void received(ByteBuffer data) {
                data.position(data.limit());
            }

            @Override
            public void ended() {}

            @Override
            public void closed(IOException cause) {}
        };
    }

    private void dial(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            clients.add(SocketChannel.open(channel.getLocalAddress()));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"Protocol error", "Software caused connection abort", "Network is down",
        "Protocol not available", "Host is down", "Machine is not on the network", "No route to host",
        "Operation not supported", "Network is unreachable", "Operation not permitted"})
    void givenAnErrorOfOneConnectionThenTheOthersAreAcceptedAtOnce(String text) throws IOException {
        dial(3);
        failures.addAll(List.of(new IOException(text), new IOException(text)));
        loop.turn(1000);
        assertThat(accepted).hasSize(3);
    }

    /** Such a peer must not delay the established connections. */
    @Test
    void givenErrorsWithoutEndThenOneTurnTriesABoundedNumber() throws IOException {
        dial(1);
        for (int i = 0; i < 40; i++) {
            failures.add(new IOException("Protocol error"));
        }
        loop.turn(1000);
        assertThat(failures).hasSize(24);
        assertThat(accepted).isEmpty();
        loop.turn(1000);
        loop.turn(1000);
        assertThat(accepted).hasSize(1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"Too many open files", "Too many open files in system", "No buffer space available",
        "Cannot allocate memory", "a text in another language"})
    void givenAMachineOutOfResourcesThenAcceptingPauses(String text) throws IOException {
        dial(1);
        failures.add(new IOException(text));
        loop.turn(1000);
        loop.turn(0);
        assertThat(accepted).isEmpty();
        clock.passUs(50_000);
        loop.turn(0);
        loop.turn(1000);
        assertThat(accepted).hasSize(1);
    }

    /** Closing the listening socket would reset those that are left. */
    @Test
    void givenFailedAndInterruptedCallsThenAcceptAllAcceptsAllPending() throws IOException {
        dial(3);
        interrupted = 2;
        failures.add(new IOException("Protocol error"));
        listener.acceptAll();
        assertThat(accepted).hasSize(3);
    }

    @Test
    void givenAConnectionThatCannotBeRegisteredThenTheOthersAreAccepted() throws IOException {
        dial(2);
        SocketChannel closed = SocketChannel.open();
        closed.close();
        Deque<SocketChannel> first = new ArrayDeque<>(List.of(closed));
        ServerSocketChannel other = ServerSocketChannel.open().bind(null);
        loop.listenOn(other, () -> first.isEmpty() ? channel.accept() : first.poll(), 100, this::handler).accept();
        other.close();
        assertThat(accepted).hasSize(2);
    }
}
