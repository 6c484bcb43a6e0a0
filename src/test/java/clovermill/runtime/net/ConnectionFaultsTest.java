package clovermill.runtime.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests how a connection handles the results of system calls on Linux. */
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
        connection.start(new ConnectionHandler() {
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
    void givenAnInterruptedReadThenItIsNotTheEndOfTheStream() {
        Connection connection = connection(false);
        socket.reads.addAll(List.of(ScriptedSocket.INTERRUPTED, 5, ScriptedSocket.INTERRUPTED, -1));
        connection.serveReady();
        assertThat(events).containsExactly("received 5");
        connection.serveReady();
        assertThat(events).containsExactly("received 5", "ended");
    }

    /** The next selection reports the socket as ready again. */
    @Test
    void givenCallsThatAreAlwaysInterruptedThenTheTurnContinues() {
        Connection connection = connection(false);
        socket.reads.addAll(Collections.nCopies(16, ScriptedSocket.INTERRUPTED));
        socket.writes.addAll(Collections.nCopies(16, ScriptedSocket.INTERRUPTED));
        connection.send(ByteBuffer.wrap(new byte[3]));
        connection.serveReady();
        connection.flush();
        assertThat(events).isEmpty();
        assertThat(connection.queuedBytes()).isEqualTo(3);
        socket.reads.add(-1);
        connection.serveReady();
        connection.flush();
        assertThat(events).containsExactly("ended", "flushed");
    }

    @Test
    void givenAnInterruptedWriteThenNothingCountsAsWritten() {
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

    /** A connect call that a signal interrupts has no result yet. */
    @Test
    void givenAnUnfinishedDialThenItIsNotReportedAsConnected() {
        Connection connection = connection(true);
        socket.connects.addAll(List.of(false, true));
        connection.serveReady();
        assertThat(events).isEmpty();
        connection.serveReady();
        assertThat(events).containsExactly("connected");
    }

    /**
     * ETIMEDOUT and EHOSTUNREACH are thrown as a plain IOException, a reset as a SocketException: each means that the
     * connection is lost.
     */
    @Test
    void givenAnErrorOfAReadOrWriteThenTheConnectionIsClosedOnce() {
        Connection read = connection(false);
        socket.reads.add(new IOException("Connection timed out"));
        read.serveReady();
        read.serveReady();
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

    /** Leaves all bytes of its first call unread; reads all bytes of each later one. */
    private static final class LateReader implements ConnectionHandler {
        final List<Integer> receivedCounts = new ArrayList<>();

        @Override
        public void received(ByteBuffer data) {
            receivedCounts.add(data.remaining());
            if (receivedCounts.size() > 1) {
                data.position(data.limit());
            }
        }

        @Override
        public void ended() {
            receivedCounts.add(-1);
        }

        @Override
        public void closed(IOException cause) {}
    }

    /** The server reads a last time before it closes an idle connection whose reading has just been resumed. */
    @Test
    void givenUnreadBytesWhenReadAtOnceAfterResumeThenTheOlderBytesAreDeliveredFirst() throws IOException {
        LateReader reader = new LateReader();
        Connection connection = new Connection(loop, socket, socket.key(), false, null);
        connection.start(reader);
        socket.reads.addAll(List.of(5, 3, -1));
        connection.serveReady();
        connection.resume();
        connection.readNow();
        assertThat(reader.receivedCounts).as("delivered bytes, in order").containsExactly(5, 5, 3);
        loop.turn(0);
        assertThat(reader.receivedCounts).as("the older bytes are delivered once").containsExactly(5, 5, 3);
        connection.readNow();
        assertThat(reader.receivedCounts).containsExactly(5, 5, 3, -1);
    }

    /** The selection reported it readable before another callback read from it and resumed it. */
    @Test
    void givenUnreadBytesWhenFoundReadableThenNothingNewerIsReadAheadOfThem() throws IOException {
        LateReader reader = new LateReader();
        Connection connection = new Connection(loop, socket, socket.alwaysReadableKey(), false, null);
        connection.start(reader);
        socket.reads.addAll(List.of(5, 3));
        connection.serveReady();
        connection.resume();
        connection.serveReady();
        assertThat(reader.receivedCounts).containsExactly(5);
        loop.turn(0);
        connection.serveReady();
        assertThat(reader.receivedCounts).containsExactly(5, 5, 3);
    }
}
