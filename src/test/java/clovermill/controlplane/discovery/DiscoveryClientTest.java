package clovermill.controlplane.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import clovermill.runtime.net.ManualClock;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class DiscoveryClientTest {

    private static final int MOST_TURNS = 500;

    private final Deadlines deadlines = new Deadlines();
    private final ManualClock clock = new ManualClock();
    private final List<Long> applied = new ArrayList<>();
    private final List<Long> previousAnswersUs = new ArrayList<>();

    private void apply(DiscoveryEvents polled) {
        previousAnswersUs.add(polled.previousAnswerUs());
        for (DiscoveryEvent event : polled.events()) {
            if (event.cursor() == 2) {
                throw new IllegalStateException("a fault while the event is applied");
            }
            applied.add(event.cursor());
        }
    }

    private static String purge(int number) {
        return "{\"cursor\":" + number + ",\"drop\":{\"family\":17,\"when\":5}}";
    }

    /** Turns the loop until a complete request has arrived on the connection, and returns its first line. */
    private static String request(EventLoop loop, SocketChannel peer) throws Exception {
        StringBuilder text = new StringBuilder();
        ByteBuffer buffer = ByteBuffer.allocate(1024);
        for (int i = 0; i < MOST_TURNS && text.indexOf("\r\n\r\n") < 0; i++) {
            loop.turn(1);
            peer.read(buffer.clear());
            text.append(StandardCharsets.US_ASCII.decode(buffer.flip()));
        }
        return text.toString().lines().findFirst().orElse("");
    }

    /** Asked for again it would fail again: no later drain or purge would ever be applied. */
    @Test
    void anEventThatFailsIsNotAskedForAgainAndThoseBehindItAreApplied() throws Exception {
        EventLoop loop = new EventLoop(clock, deadlines);
        try (ServerSocketChannel listener = ServerSocketChannel.open()
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            new DiscoveryClient(loop, clock, deadlines, (InetSocketAddress) listener.getLocalAddress(),
                    new DiscoverySettings(List.of("edge"), List.of("std"), 400_000, 500_000), 1, this::apply)
                    .start();
            try (SocketChannel peer = listener.accept()) {
                peer.configureBlocking(false);
                assertThat(request(loop, peer)).contains("resume=1&");
                String body = "{\"cursor\":3,\"cmds\":[" + purge(2) + "," + purge(3) + "]}";
                peer.write(ByteBuffer.wrap(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII)));
                assertThat(request(loop, peer)).contains("resume=3&");
            }
        }
        assertThat(applied).containsExactly(3L);
    }

    private static void answer(SocketChannel peer, int cursor) throws Exception {
        String body = "{\"cursor\":" + cursor + ",\"cmds\":[" + purge(cursor) + "]}";
        peer.write(ByteBuffer.wrap(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII)));
    }

    /** What a poll brings was made after the answer before, also where that came on an earlier connection. */
    @Test
    void eventsComeWithTheTimeOfTheAnswerBefore() throws Exception {
        EventLoop loop = new EventLoop(clock, deadlines);
        long firstUs;
        long secondUs;
        try (ServerSocketChannel listener = ServerSocketChannel.open()
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            new DiscoveryClient(loop, clock, deadlines, (InetSocketAddress) listener.getLocalAddress(),
                    new DiscoverySettings(List.of("edge"), List.of("std"), 400_000, 500_000), 2, this::apply)
                    .start();
            try (SocketChannel peer = listener.accept()) {
                peer.configureBlocking(false);
                assertThat(request(loop, peer)).contains("resume=2&");
                clock.passMs(70);
                firstUs = clock.micros();
                answer(peer, 3);
                assertThat(request(loop, peer)).contains("resume=3&");
                clock.passMs(80);
                clock.stepMs(3_600_000);
                secondUs = clock.micros();
                answer(peer, 4);
                assertThat(request(loop, peer)).contains("resume=4&");
            }
            listener.configureBlocking(false);
            SocketChannel next = null;
            for (int i = 0; i < MOST_TURNS && next == null; i++) {
                loop.turn(1);
                clock.passMs(20);
                deadlines.sweep(clock.micros());
                next = listener.accept();
            }
            try (SocketChannel peer = next) {
                peer.configureBlocking(false);
                assertThat(request(loop, peer)).contains("resume=4&");
                answer(peer, 5);
                assertThat(request(loop, peer)).contains("resume=5&");
            }
        }
        assertThat(previousAnswersUs).containsExactly(DiscoveryEvents.NEVER_ANSWERED_US, firstUs, secondUs);
    }
}
