package clovermill.runtime.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventLoopTest {

    private final List<String> events = new ArrayList<>();

    private ConnectionHandler handler(Connection connection) {
        if (events.isEmpty()) {
            events.add("fault");
            throw new IllegalStateException("a fault while a connection is registered");
        }
        return new ConnectionHandler() {
            @Override
            public void received(ByteBuffer data) {
                data.position(data.limit());
                events.add("bytes");
                connection.requestFlush();
            }

            @Override
            public void flushing() {
                events.add("flush");
            }

            @Override
            public void ended() {
                events.add("end");
            }

            @Override
            public void closed(IOException cause) {}
        };
    }

    /** With a limit of one connection the next one is accepted. */
    @Test
    void givenAConnectionThatCannotBeRegisteredThenItDoesNotCountAgainstTheLimit() throws Exception {
        EventLoop loop = new EventLoop(Clock.system(), new Deadlines());
        try (Listener listener = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1,
                () -> {}, this::handler)) {
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.port());
            try (SocketChannel first = SocketChannel.open(address)) {
                for (int i = 0; i < 5; i++) {
                    loop.turn(10);
                }
                assertThat(first.read(ByteBuffer.allocate(1))).isNegative();
                try (SocketChannel second = SocketChannel.open(address);
                        SocketChannel third = SocketChannel.open(address)) {
                    third.write(ByteBuffer.wrap(new byte[1]));
                    second.write(ByteBuffer.wrap(new byte[1]));
                    for (int i = 0; i < 50 && events.size() < 5; i++) {
                        loop.turn(10);
                    }
                }
            }
            assertThat(events).filteredOn("bytes"::equals).hasSize(2);
        }
    }

    /** Output is written at the end of the turn, after the close by the client that caused it has been read. */
    @Test
    void givenACloseAfterARequestThenItIsReportedBeforeAnythingIsWritten() throws Exception {
        events.add("no fault");
        EventLoop loop = new EventLoop(Clock.system(), new Deadlines());
        try (Listener listener = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1,
                () -> {}, this::handler)) {
            SocketChannel client = SocketChannel.open(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.port()));
            client.write(ByteBuffer.wrap(new byte[1]));
            client.close();
            for (int i = 0; i < 50 && !events.contains("flush"); i++) {
                loop.turn(10);
            }
            assertThat(events).containsExactly("no fault", "bytes", "end", "flush");
        }
    }

    /** The new connection is closed and does not count against the limit; the listener continues. */
    @Test
    void givenAFaultWhileAnotherIsClosedThenTheListenerContinues() throws Exception {
        events.add("no fault");
        EventLoop loop = new EventLoop(Clock.system(), new Deadlines());
        try (Listener listener = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1,
                () -> {
                    events.add("at the limit");
                    throw new IllegalStateException("a fault while another is closed");
                }, connection -> closing(connection))) {
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.port());
            try (SocketChannel first = SocketChannel.open(address);
                    SocketChannel second = SocketChannel.open(address)) {
                for (int i = 0; i < 50 && !events.contains("at the limit"); i++) {
                    loop.turn(10);
                }
                first.write(ByteBuffer.wrap(new byte[1]));
                second.configureBlocking(false);
                int read = 0;
                for (int i = 0; i < 50 && (read >= 0 || !events.contains("closed")); i++) {
                    loop.turn(10);
                    read = Math.min(read, second.read(ByteBuffer.allocate(1)));
                }
                assertThat(read).as("the second one is closed").isNegative();
            }
            try (SocketChannel third = SocketChannel.open(address)) {
                third.write(ByteBuffer.wrap(new byte[1]));
                for (int i = 0; i < 50 && events.stream().filter("closed"::equals).count() < 2; i++) {
                    loop.turn(10);
                }
            }
        }
        assertThat(events).containsOnlyOnce("at the limit").filteredOn("closed"::equals).hasSize(2);
    }

    /** Closes its connection at the first byte. */
    private ConnectionHandler closing(Connection connection) {
        return new ConnectionHandler() {
            @Override
            public void received(ByteBuffer data) {
                data.position(data.limit());
                connection.close();
            }

            @Override
            public void ended() {}

            @Override
            public void closed(IOException cause) {
                events.add("closed");
            }
        };
    }

    /** Otherwise the owner would count a closed connection against its limit forever. */
    @Test
    void givenAWriteCallbackThatThrowsWhenClosedThenTheHandlerIsStillCalled() throws Exception {
        events.add("no fault");
        EventLoop loop = new EventLoop(Clock.system(), new Deadlines());
        try (Listener listener = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1,
                () -> {}, connection -> closing(connection))) {
            Connection dialled = loop.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.port()),
                    this::closing);
            dialled.send(ByteBuffer.wrap(new byte[1]), () -> {
                events.add("failed");
                throw new IllegalStateException("a fault in a write callback");
            });
            dialled.send(ByteBuffer.wrap(new byte[1]), () -> events.add("released"));
            loop.post(dialled::close);
            loop.turn(0);
        }
        assertThat(events).containsExactly("no fault", "failed", "released", "closed");
    }
}
