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

    private final List<String> heard = new ArrayList<>();

    private Connection.Handler handler(Connection connection) {
        if (heard.isEmpty()) {
            heard.add("fault");
            throw new IllegalStateException("a fault while a connection is taken in");
        }
        return new Connection.Handler() {
            @Override
            public void received(ByteBuffer data) {
                data.position(data.limit());
                heard.add("bytes");
                connection.flushSoon();
            }

            @Override
            public void flushing() {
                heard.add("flush");
            }

            @Override
            public void ended() {
                heard.add("end");
            }

            @Override
            public void closed(IOException cause) {}
        };
    }

    /** One whose taking-in fails gives its place back: with one place only, the next one is taken. */
    @Test
    void aConnectionThatCannotBeTakenInKeepsNoPlace() throws Exception {
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
                    for (int i = 0; i < 50 && heard.size() < 5; i++) {
                        loop.turn(10);
                    }
                }
            }
            assertThat(heard).filteredOn("bytes"::equals).hasSize(2);
        }
    }

    /** Whatever is sent on for a request is written at the end of the turn: by then its client's end has been seen. */
    @Test
    void anEndBehindARequestIsSeenBeforeAnythingIsWritten() throws Exception {
        heard.add("no fault");
        EventLoop loop = new EventLoop(Clock.system(), new Deadlines());
        try (Listener listener = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1,
                () -> {}, this::handler)) {
            SocketChannel client = SocketChannel.open(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.port()));
            client.write(ByteBuffer.wrap(new byte[1]));
            client.close();
            for (int i = 0; i < 50 && !heard.contains("flush"); i++) {
                loop.turn(10);
            }
            assertThat(heard).containsExactly("no fault", "bytes", "end", "flush");
        }
    }

    /** A connection for which no room could be made keeps no place and no descriptor; the listener goes on. */
    @Test
    void aFaultWhileRoomIsMadeDoesNotEndTheListener() throws Exception {
        heard.add("no fault");
        EventLoop loop = new EventLoop(Clock.system(), new Deadlines());
        try (Listener listener = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1,
                () -> {
                    heard.add("no room");
                    throw new IllegalStateException("a fault while room is made");
                }, connection -> closing(connection))) {
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.port());
            try (SocketChannel first = SocketChannel.open(address);
                    SocketChannel second = SocketChannel.open(address)) {
                for (int i = 0; i < 50 && !heard.contains("no room"); i++) {
                    loop.turn(10);
                }
                first.write(ByteBuffer.wrap(new byte[1]));
                second.configureBlocking(false);
                int read = 0;
                for (int i = 0; i < 50 && (read >= 0 || !heard.contains("closed")); i++) {
                    loop.turn(10);
                    read = Math.min(read, second.read(ByteBuffer.allocate(1)));
                }
                assertThat(read).as("the second one is closed").isNegative();
            }
            try (SocketChannel third = SocketChannel.open(address)) {
                third.write(ByteBuffer.wrap(new byte[1]));
                for (int i = 0; i < 50 && heard.stream().filter("closed"::equals).count() < 2; i++) {
                    loop.turn(10);
                }
            }
        }
        assertThat(heard).containsOnlyOnce("no room").filteredOn("closed"::equals).hasSize(2);
    }

    /** Closes its connection at the first byte. */
    private Connection.Handler closing(Connection connection) {
        return new Connection.Handler() {
            @Override
            public void received(ByteBuffer data) {
                data.position(data.limit());
                connection.close();
            }

            @Override
            public void ended() {}

            @Override
            public void closed(IOException cause) {
                heard.add("closed");
            }
        };
    }

    /** Else the owner would count a connection for ever that is no more, as the pool does against its limit. */
    @Test
    void aHandlerHearsOfTheCloseThoughWhatWasToBeWrittenFailsAtIt() throws Exception {
        heard.add("no fault");
        EventLoop loop = new EventLoop(Clock.system(), new Deadlines());
        try (Listener listener = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1,
                () -> {}, connection -> closing(connection))) {
            Connection dialled = loop.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.port()),
                    this::closing);
            dialled.send(ByteBuffer.wrap(new byte[1]), () -> {
                heard.add("failed");
                throw new IllegalStateException("a fault at the end of what was to be written");
            });
            dialled.send(ByteBuffer.wrap(new byte[1]), () -> heard.add("given back"));
            loop.post(dialled::close);
            loop.turn(0);
        }
        assertThat(heard).containsExactly("no fault", "failed", "given back", "closed");
    }
}
