package clovermill.dataplane.server;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.config.Config;
import clovermill.dataplane.proxy.AttemptListener;
import clovermill.dataplane.proxy.AttemptOrder;
import clovermill.dataplane.proxy.Exchange;
import clovermill.dataplane.proxy.ProxyCore;
import clovermill.dataplane.proxy.Upstream;
import clovermill.routing.api.Event;
import clovermill.routing.api.Request;
import clovermill.routing.api.RequestCancelled;
import clovermill.runtime.net.Budget;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import clovermill.runtime.net.ManualClock;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

class FrameServerTest {

    private static final long STEP_US = 10_000;
    private static final byte[] READINESS_REQUEST = {6, 0, 0, 0, 6, 1, 0, 0, 0, 0};
    private static final int READINESS_RESPONSE = 7;

    private int readinessChecks;
    private final Deadlines deadlines = new Deadlines();
    private final ManualClock clock = new ManualClock(1_700_000_000_000_000L);

    private static final Upstream UNUSED_UPSTREAM = new Upstream() {
        @Override
        public Exchange send(AttemptOrder order, AttemptListener listener) {
            throw new AssertionError("unexpected attempt");
        }

        @Override
        public void probe(String member, AttemptListener listener) {}

        @Override
        public void closeIdle(String member) {}
    };

    private final Budget budget = new Budget(1 << 20);
    private final List<Event> events = new ArrayList<>();

    private FrameServer server(EventLoop loop, ServerSocketChannel inherited, BooleanSupplier canServe)
            throws Exception {
        Config config = Config.read(Files.readString(Path.of("src/test/resources/director.json"))
                .replaceAll("\\$\\{[^}]*}", "127.0.0.1:9"), null);
        ProxyCore proxy =
                new ProxyCore((atUs, event, out) -> events.add(event), config.settings(), clock, deadlines,
                        UNUSED_UPSTREAM);
        return new FrameServer(loop, clock, deadlines, budget, proxy, config.settings(), config.classes(),
                new FrameServer.Options(new InetSocketAddress(
                        InetAddress.getLoopbackAddress(), 0), inherited, 8, canServe));
    }

    /** A process that never becomes ready would block a rolling upgrade. */
    @Test
    void acceptsFromInheritedSocketAfterReadinessCheckThrewOnce() throws Exception {
        EventLoop loop = new EventLoop(clock, deadlines);
        try (ServerSocketChannel inherited = ServerSocketChannel.open()
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            FrameServer server = server(loop, inherited, () -> {
                readinessChecks++;
                if (readinessChecks == 2) {
                    throw new IllegalStateException("readiness check failed");
                }
                return readinessChecks > 2;
            });
            server.open();
            assertThat(server.isReady()).isFalse();
            for (int i = 0; i < 3; i++) {
                clock.passUs(STEP_US);
                loop.turn(0);
            }
            assertThat(server.isReady()).isTrue();
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), inherited.socket().getLocalPort())) {
                client.getOutputStream().write(READINESS_REQUEST);
                client.setSoTimeout(10_000);
                for (int i = 0; i < 100 && client.getInputStream().available() == 0; i++) {
                    loop.turn(10);
                }
                assertThat(client.getInputStream().readNBytes(5)).endsWith(READINESS_RESPONSE);
            }
        }
    }

    /** A server with one client. The clock advances only in {@link #advance}. */
    private final class SingleClient implements AutoCloseable {
        final EventLoop loop = new EventLoop(clock, deadlines);
        final FrameServer server = server(loop, null, () -> true);
        final Socket socket;

        SingleClient() throws Exception {
            server.open();
            socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
            socket.setSoTimeout(10_000);
            socket.setTcpNoDelay(true);
        }

        void runLoop() throws Exception {
            for (int i = 0; i < 20; i++) {
                loop.turn(1);
            }
        }

        void advance(long ms) throws Exception {
            for (long i = 0; i < ms; i += 10) {
                clock.passUs(STEP_US);
                loop.turn(0);
            }
            runLoop();
        }

        void sendFrame(int type, int stream, Map<String, String> fields, int bodyBytes) throws Exception {
            ByteBuffer frame = ByteBuffer.allocate(100_000).order(ByteOrder.LITTLE_ENDIAN).position(4);
            frame.put((byte) type).putInt(stream).put((byte) fields.size());
            fields.forEach((name, value) -> frame.put((byte) name.length())
                    .put(name.getBytes(StandardCharsets.US_ASCII)).putShort((short) value.length())
                    .put(value.getBytes(StandardCharsets.US_ASCII)));
            frame.position(frame.position() + bodyBytes);
            frame.putInt(0, frame.position() - 4);
            socket.getOutputStream().write(frame.array(), 0, frame.position());
            runLoop();
        }

        void sendRequest(int stream, int bodyBytes) throws Exception {
            sendFrame(Frames.REQUEST, stream,
                    Map.of("class", "page", "id", String.format("%016x", stream), "wait", "3000",
                            "key", "7f3a9c21e0b4d655"),
                    bodyBytes);
        }

        /** Reads the next frame and returns its type, stream number and response code. */
        String readFrame() throws Exception {
            if (socket.getInputStream().available() == 0) {
                return "nothing";
            }
            ByteBuffer head = ByteBuffer.wrap(socket.getInputStream().readNBytes(4)).order(ByteOrder.LITTLE_ENDIAN);
            ByteBuffer frame = ByteBuffer.wrap(socket.getInputStream().readNBytes(head.getInt()))
                    .order(ByteOrder.LITTLE_ENDIAN);
            return frame.get() + " " + frame.getInt() + " " + (char) frame.get();
        }

        @Override
        public void close() throws IOException {
            socket.close();
            server.stopAccepting();
        }
    }

    /** A disconnect would not be detected behind a frame that waits for memory. */
    @Test
    void startsNoAttemptWhenFrameWaitsMoreThan50MsForMemory() throws Exception {
        try (SingleClient client = new SingleClient()) {
            client.sendRequest(1, 0);
            budget.tryReserve(1 << 20);
            client.sendRequest(2, 20_000);
            client.advance(40);
            assertThat(client.readFrame()).isEqualTo("nothing");
            assertThat(events).hasSize(1).allMatch(Request.class::isInstance);
            client.advance(10);
            assertThat(events).hasSize(2).anyMatch(RequestCancelled.class::isInstance);
            assertThat(client.readFrame()).as("rejected, since no attempt is in flight").isEqualTo("1 1 B");
        }
    }

    /** A request that was sent completely must be answered, however long the memory is in use. */
    @Test
    void rejectsRequestAfter400MsWithoutMemoryAndKeepsConnectionOpen() throws Exception {
        try (SingleClient client = new SingleClient()) {
            budget.tryReserve(1 << 20);
            client.sendRequest(1, 20_000);
            client.advance(390);
            assertThat(client.readFrame()).isEqualTo("nothing");
            client.advance(10);
            assertThat(client.readFrame()).isEqualTo("1 1 B");
            client.sendFrame(Frames.READINESS_REQUEST, 7, Map.of(), 0);
            assertThat(client.readFrame()).isEqualTo("7 7 O");
            assertThat(budget.used()).isEqualTo(1 << 20);
            budget.release(1 << 20);
            client.sendRequest(2, 20_000);
            assertThat(events).hasSize(1);
        }
    }

    /** The rest of the request is unread in the socket: a close would lose it. */
    @Test
    void doesNotEvictConnectionWhoseFirstRequestWaitsForMemory() throws Exception {
        try (SingleClient client = new SingleClient()) {
            budget.tryReserve(1 << 20);
            client.sendRequest(1, 20_000);
            client.advance(110);
            client.server.setMaxConnections(0);
            client.runLoop();
            assertThat(client.readFrame()).isEqualTo("nothing");
            client.advance(290);
            assertThat(client.readFrame()).isEqualTo("1 1 B");
        }
    }

    /** The end of the client stands behind the rest of the frame, unread: an attempt would be for nobody. */
    @Test
    void submitsNoRequestOfAClientThatClosedWhileItWaitedForMemory() throws Exception {
        try (SingleClient client = new SingleClient()) {
            budget.tryReserve(1 << 20);
            client.sendRequest(1, 47_000);
            client.advance(100);
            client.socket.close();
            client.advance(100);
            budget.release(1 << 20);
            client.runLoop();
            assertThat(events).isEmpty();
            assertThat(client.server.isEmpty()).isTrue();
            assertThat(budget.used()).isZero();
        }
    }

    /** The deadline counts from the arrival of a request's last byte, whether or not it has been read. */
    @Test
    void subtractsWaitForMemoryFromRequestDeadline() throws Exception {
        try (SingleClient client = new SingleClient()) {
            budget.tryReserve(1 << 20);
            client.sendRequest(1, 20_000);
            client.advance(300);
            budget.release(1 << 20);
            client.runLoop();
            assertThat(events).hasSize(1);
            assertThat(((Request) events.get(0)).timeoutUs()).isEqualTo(2_980_000 - 300_000);
        }
    }

    /** A client that continues to send after a protocol error is disconnected before the linger time is over. */
    @Test
    void limitsBytesDiscardedDuringLingeringClose() throws Exception {
        try (SingleClient client = new SingleClient()) {
            client.socket.getOutputStream().write(new byte[] {-1, -1, -1, -1, 0});
            client.runLoop();
            assertThat(client.readFrame()).isEqualTo("1 0 E");
            client.socket.getOutputStream().write(new byte[200_000]);
            client.runLoop();
            assertThat(client.server.isEmpty()).isFalse();
            client.socket.getOutputStream().write(new byte[62_200]);
            client.runLoop();
            assertThat(client.server.isEmpty()).isTrue();
        }
    }
}
