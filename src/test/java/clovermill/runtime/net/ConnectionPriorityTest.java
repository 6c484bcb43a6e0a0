package clovermill.runtime.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/** A connection with priority is served before all others of a turn, though its bytes arrived last. */
class ConnectionPriorityTest {

    private static final int CLIENTS = 30;
    private final List<String> receivers = new ArrayList<>();

    private Function<Connection, ConnectionHandler> named(String name) {
        return connection -> new ConnectionHandler() {
            @Override
            public void received(ByteBuffer data) {
                data.position(data.limit());
                receivers.add(name);
            }

            @Override
            public void ended() {}

            @Override
            public void closed(IOException cause) {}
        };
    }

    @Test
    void givenAListenerWithPriorityThenItsConnectionIsServedFirstInEachTurn() throws Exception {
        EventLoop loop = new EventLoop(Clock.system(), new Deadlines());
        InetSocketAddress anywhere = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try (Listener usual = loop.listen(anywhere, 100, () -> {}, named("client"));
                Listener first = loop.listenWithPriority(anywhere, 100, () -> {}, named("first"))) {
            List<SocketChannel> all = new ArrayList<>();
            for (int i = 0; i <= CLIENTS; i++) {
                all.add(SocketChannel.open(new InetSocketAddress(InetAddress.getLoopbackAddress(),
                        i < CLIENTS ? usual.port() : first.port())));
            }
            for (int i = 0; i < 10; i++) {
                loop.turn(10);
            }
            for (int round = 1; round <= 3; round++) {
                receivers.clear();
                for (SocketChannel each : all) {
                    each.write(ByteBuffer.wrap(new byte[] {1}));
                }
                for (int i = 0; i < 100 && receivers.size() <= CLIENTS; i++) {
                    loop.turn(10);
                }
                assertThat(receivers).as("round %d", round).hasSize(CLIENTS + 1).startsWith("first");
            }
            for (SocketChannel each : all) {
                each.close();
            }
        }
    }
}
