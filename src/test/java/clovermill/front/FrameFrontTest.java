package clovermill.front;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.CacheRouter.ClientGone;
import clovermill.CacheRouter.Event;
import clovermill.CacheRouter.Request;
import clovermill.config.Config;
import clovermill.host.Host;
import clovermill.host.Upstream;
import clovermill.net.Budget;
import clovermill.net.Clock;
import clovermill.net.Deadlines;
import clovermill.net.EventLoop;
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

class FrameFrontTest {

    private static final long STEP_US = 10_000;
    private static final byte[] READY_QUESTION = {6, 0, 0, 0, 6, 1, 0, 0, 0, 0};
    private static final int READY_ANSWER = 7;

    private long nowUs = 1_700_000_000_000_000L;
    private int looks;
    private final Deadlines deadlines = new Deadlines();
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

    private static final Upstream NOBODY = new Upstream() {
        @Override
        public Exchange send(Order order, Ending ending) {
            throw new AssertionError("nothing is sent");
        }

        @Override
        public void probe(String member, Ending ending) {}

        @Override
        public void closeIdle(String member) {}
    };

    private final Budget budget = new Budget(1 << 20);
    private final List<Event> events = new ArrayList<>();

    private FrameFront front(EventLoop loop, ServerSocketChannel passed, BooleanSupplier able) throws Exception {
        Config config = Config.read(Files.readString(Path.of("src/test/resources/director.json"))
                .replaceAll("\\$\\{[^}]*}", "127.0.0.1:9"), null);
        Host host = new Host((atUs, event, out) -> events.add(event), config.settings(), clock, deadlines, NOBODY);
        return new FrameFront(loop, clock, deadlines, budget, host, config.settings(), config.classes(),
                new FrameFront.Terms(new InetSocketAddress(
                        InetAddress.getLoopbackAddress(), 0), passed, 8, able));
    }

    /** A process that is never ready, on a socket that nobody reads, would hold up the platform's upgrade for good. */
    @Test
    void aLookThatFailsDoesNotLeaveThePassedSocketUnread() throws Exception {
        EventLoop loop = new EventLoop(clock, deadlines);
        try (ServerSocketChannel passed = ServerSocketChannel.open()
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            FrameFront front = front(loop, passed, () -> {
                looks++;
                if (looks == 2) {
                    throw new IllegalStateException("a fault while it looks whether it can serve");
                }
                return looks > 2;
            });
            front.open();
            assertThat(front.ready()).isFalse();
            for (int i = 0; i < 3; i++) {
                nowUs += STEP_US;
                loop.turn(0);
            }
            assertThat(front.ready()).isTrue();
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), passed.socket().getLocalPort())) {
                client.getOutputStream().write(READY_QUESTION);
                client.setSoTimeout(10_000);
                for (int i = 0; i < 100 && client.getInputStream().available() == 0; i++) {
                    loop.turn(10);
                }
                assertThat(client.getInputStream().readNBytes(5)).endsWith(READY_ANSWER);
            }
        }
    }

    /** A front with one client, on a budget without room, and a clock that stands still between the waits. */
    private final class OneClient implements AutoCloseable {
        final EventLoop loop = new EventLoop(clock, deadlines);
        final FrameFront front = front(loop, null, () -> true);
        final Socket socket;

        OneClient() throws Exception {
            front.open();
            socket = new Socket(InetAddress.getLoopbackAddress(), front.port());
            socket.setSoTimeout(10_000);
            socket.setTcpNoDelay(true);
        }

        void turns() throws Exception {
            for (int i = 0; i < 20; i++) {
                loop.turn(1);
            }
        }

        void waits(long millis) throws Exception {
            for (long i = 0; i < millis; i += 10) {
                nowUs += STEP_US;
                loop.turn(0);
            }
            turns();
        }

        void sends(int type, int stream, Map<String, String> fields, int bodyBytes) throws Exception {
            ByteBuffer frame = ByteBuffer.allocate(100_000).order(ByteOrder.LITTLE_ENDIAN).position(4);
            frame.put((byte) type).putInt(stream).put((byte) fields.size());
            fields.forEach((name, value) -> frame.put((byte) name.length())
                    .put(name.getBytes(StandardCharsets.US_ASCII)).putShort((short) value.length())
                    .put(value.getBytes(StandardCharsets.US_ASCII)));
            frame.position(frame.position() + bodyBytes);
            frame.putInt(0, frame.position() - 4);
            socket.getOutputStream().write(frame.array(), 0, frame.position());
            turns();
        }

        void asks(int stream, int bodyBytes) throws Exception {
            sends(Frames.REQUEST, stream, Map.of("class", "page", "id", String.format("%016x", stream), "wait", "3000",
                    "key", "7f3a9c21e0b4d655"), bodyBytes);
        }

        /** The next frame: its type, its stream and its code. */
        String reads() throws Exception {
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
            front.shut();
        }
    }

    /** Behind a frame for which there is no room the client's end would not be seen. */
    @Test
    void aClientThatWaitsForRoomFor50MillisIsBarred() throws Exception {
        try (OneClient client = new OneClient()) {
            client.asks(1, 0);
            budget.take(1 << 20);
            client.asks(2, 20_000);
            client.waits(40);
            assertThat(client.reads()).isEqualTo("nothing");
            assertThat(events).hasSize(1).allMatch(Request.class::isInstance);
            client.waits(10);
            assertThat(events).hasSize(2).anyMatch(ClientGone.class::isInstance);
            assertThat(client.reads()).as("nothing is out for it").isEqualTo("1 1 B");
        }
    }

    /** A request that was sent whole is owed an answer, however long others hold the memory. */
    @Test
    void aRequestForWhichThereIsNoRoomIsRefusedAndItsConnectionGoesOn() throws Exception {
        try (OneClient client = new OneClient()) {
            budget.take(1 << 20);
            client.asks(1, 20_000);
            client.waits(390);
            assertThat(client.reads()).isEqualTo("nothing");
            client.waits(10);
            assertThat(client.reads()).isEqualTo("1 1 B");
            client.sends(Frames.READY_QUESTION, 7, Map.of(), 0);
            assertThat(client.reads()).isEqualTo("7 7 O");
            assertThat(budget.used()).isEqualTo(1 << 20);
            budget.give(1 << 20);
            client.asks(2, 20_000);
            assertThat(events).hasSize(1);
        }
    }

    /** It was read in part and is whole in the machine: to close on it would lose it. */
    @Test
    void aNewConnectionWhoseFirstRequestWaitsForRoomIsNotLetGoForAnother() throws Exception {
        try (OneClient client = new OneClient()) {
            budget.take(1 << 20);
            client.asks(1, 20_000);
            client.waits(110);
            client.front.limit(0);
            client.turns();
            assertThat(client.reads()).isEqualTo("nothing");
            client.waits(290);
            assertThat(client.reads()).isEqualTo("1 1 B");
        }
    }

    /** A client has the time that it names from its last byte on, wherever the request waits. */
    @Test
    void aRequestThatWaitedForRoomHasThatMuchLessTime() throws Exception {
        try (OneClient client = new OneClient()) {
            budget.take(1 << 20);
            client.asks(1, 20_000);
            client.waits(300);
            budget.give(1 << 20);
            client.turns();
            assertThat(events).hasSize(1);
            assertThat(((Request) events.get(0)).graceUs()).isEqualTo(2_980_000 - 300_000);
        }
    }

    /** Whoever sends on and on after what could not be read is not read for the whole of the last 100 ms. */
    @Test
    void aConnectionThatIsEndedDropsOnlySoMuch() throws Exception {
        try (OneClient client = new OneClient()) {
            client.socket.getOutputStream().write(new byte[] {-1, -1, -1, -1, 0});
            client.turns();
            assertThat(client.reads()).isEqualTo("1 0 E");
            client.socket.getOutputStream().write(new byte[200_000]);
            client.turns();
            assertThat(client.front.empty()).isFalse();
            client.socket.getOutputStream().write(new byte[62_200]);
            client.turns();
            assertThat(client.front.empty()).isTrue();
        }
    }
}
