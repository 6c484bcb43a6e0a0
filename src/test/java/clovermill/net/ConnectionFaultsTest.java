package clovermill.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a connection makes of the results that the system's calls may have on Linux. */
class ConnectionFaultsTest {

    private final List<String> events = new ArrayList<>();
    private final ScriptedSocket socket = new ScriptedSocket();
    private EventLoop loop;

    @BeforeEach
    void open() throws IOException {
        loop = new EventLoop(Clock.system(), new Deadlines());
    }

    private Connection connection(boolean connecting) {
        Connection connection = new Connection(loop, socket, socket.key(), connecting, null);
        connection.handler(new Connection.Handler() {
            @Override
            public void connected() {
                events.add("connected");
            }

            @Override
            public void received(ByteBuffer data) {
                events.add("received " + data.remaining());
                data.position(data.limit());
            }

            @Override
            public void ended() {
                events.add("ended");
            }

            @Override
            public void flushed() {
                events.add("flushed");
            }

            @Override
            public void closed(IOException cause) {
                events.add("closed " + (cause == null ? "here" : cause.getMessage()));
            }
        });
        return connection;
    }

    @Test
    void anInterruptedReadIsNoEndOfTheStream() {
        Connection connection = connection(false);
        socket.reads.addAll(List.of(ScriptedSocket.INTERRUPTED, 5, ScriptedSocket.INTERRUPTED, -1));
        connection.ready();
        assertThat(events).containsExactly("received 5");
        connection.ready();
        assertThat(events).containsExactly("received 5", "ended");
    }

    /** The next selection finds it ready again. */
    @Test
    void readsAndWritesThatAreInterruptedWithoutEndLeaveTheTurnToOthers() {
        Connection connection = connection(false);
        socket.reads.addAll(Collections.nCopies(16, ScriptedSocket.INTERRUPTED));
        socket.writes.addAll(Collections.nCopies(16, ScriptedSocket.INTERRUPTED));
        connection.send(ByteBuffer.wrap(new byte[3]));
        connection.ready();
        connection.flush();
        assertThat(events).isEmpty();
        assertThat(connection.queuedBytes()).isEqualTo(3);
        socket.reads.add(-1);
        connection.ready();
        connection.flush();
        assertThat(events).containsExactly("ended", "flushed");
    }

    @Test
    void anInterruptedWriteHasWrittenNothing() {
        Connection connection = connection(false);
        socket.writes.addAll(List.of(ScriptedSocket.INTERRUPTED, 2, ScriptedSocket.INTERRUPTED, 0));
        connection.send(ByteBuffer.wrap("request".getBytes(StandardCharsets.US_ASCII)));
        connection.flush();
        assertThat(connection.queuedBytes()).isEqualTo(5);
        assertThat(connection.writtenBytes()).isEqualTo(2);
        for (int i = 0; i < 4; i++) {
            connection.flush();
        }
        assertThat(socket.written).hasToString("request");
        assertThat(connection.writtenBytes()).isEqualTo(7);
        assertThat(connection.queuedBytes()).isZero();
        assertThat(events).containsExactly("flushed");
    }

    /** A look at a dial that a signal interrupts says nothing of it. */
    @Test
    void aDialThatIsNotUpYetIsNotTakenForUp() {
        Connection connection = connection(true);
        socket.connects.addAll(List.of(false, true));
        connection.ready();
        assertThat(events).isEmpty();
        connection.ready();
        assertThat(events).containsExactly("connected");
    }

    /**
     * ETIMEDOUT and EHOSTUNREACH come as a plain IOException, a reset as a SocketException: each is a broken
     * connection.
     */
    @Test
    void anErrorOfAReadOrWriteClosesTheConnectionOnce() {
        Connection read = connection(false);
        socket.reads.add(new IOException("Connection timed out"));
        read.ready();
        read.ready();
        assertThat(events).containsExactly("closed Connection timed out");
        assertThat(read.isOpen()).isFalse();
        events.clear();
        Connection written = connection(false);
        socket.writes.addAll(List.of(3, new IOException("No route to host")));
        written.send(ByteBuffer.wrap(new byte[8]), () -> events.add("done"));
        written.flush();
        written.flush();
        assertThat(events).containsExactly("done", "closed No route to host");
        assertThat(written.queuedBytes()).isZero();
    }
}
