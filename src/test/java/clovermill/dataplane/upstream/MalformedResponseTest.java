package clovermill.dataplane.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.dataplane.proxy.AttemptOrder;
import clovermill.dataplane.proxy.ClientRequest;
import clovermill.dataplane.proxy.Exchange;
import clovermill.runtime.net.Budget;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.ConnectionHandler;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import clovermill.runtime.net.ManualClock;
import clovermill.runtime.net.ScriptedSocket;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/**
 * Responses with a malformed line. Whatever becomes of the exchange, the memory of the body must return to the budget:
 * what is lost there stays lost until the process ends, and without it no response can be read.
 */
class MalformedResponseTest {

    private static final String ID = "00000000000000a1";
    private static final int BODY_BYTES = 400;
    private static final String LINE = ID + " DONE etag=t1,made=5,res=HIT,ttfb=12.5,gauges=concurrent:3.5;x1:0.4 "
            + BODY_BYTES + "\r\n";
    private static final String NOISE = "\0\t\n\r ,=:;.-09gZ\u007f\u00ff";

    private final Budget budget = new Budget(1 << 20);
    private UpstreamPool pool;
    private EventLoop loop;
    private ScriptedSocket socket;
    private Connection connection;
    private ConnectionHandler handler;

    private void open() throws IOException {
        ManualClock clock = new ManualClock();
        Deadlines deadlines = new Deadlines();
        socket = new ScriptedSocket();
        loop = new EventLoop(clock, deadlines);
        pool = new UpstreamPool(this::dial, clock, deadlines, budget,
                new UpstreamPool.Limits(1000, 1, 400_000, 30_000_000));
        pool.updateMember("m", new InetSocketAddress(InetAddress.getLoopbackAddress(), 1), 0);
    }

    private Connection dial(InetSocketAddress address, Function<Connection, ConnectionHandler> handlers) {
        connection = socket.connect(loop, dialed -> handler = handlers.apply(dialed));
        return connection;
    }

    private Exchange send() throws IOException {
        ClientRequest request = new ClientRequest(ID, 0, "page", "aa", 0, 17, 1, 1_000_000, false, null, null,
                new byte[0]);
        Exchange exchange = pool.send(
                new AttemptOrder(request, "m", 1_000_000, null, 0, 0, false, false, false, false),
                (result, cacheStatus, waitedUs, response) -> {
                    if (response != null) {
                        response.body().close();
                    }
                });
        begin();
        assertThat(exchange.begun()).isTrue();
        return exchange;
    }

    private void begin() throws IOException {
        socket.reportReady();
        loop.turn(0);
    }

    /** Delivers bytes; closes the connection if they are malformed, as the connection itself does. */
    private void receive(String bytes) {
        try {
            handler.received(ByteBuffer.wrap(bytes.getBytes(StandardCharsets.ISO_8859_1)));
        } catch (IOException malformed) {
            connection.close();
        }
    }

    private static String response(String line) {
        return line + "x".repeat(BODY_BYTES) + "\r\n";
    }

    /** Guards against losing the memory of each body whose {@code ttfb} is not a number. */
    @Test
    void returnsTheMemoryOfABodyWithAnInvalidTime() throws IOException {
        open();
        send();
        receive(response(LINE.replace("ttfb=12.5", "ttfb=g2.5")));
        assertThat(connection.isOpen()).isFalse();
        assertThat(budget.used()).isZero();
    }

    /** The same for the response to a probe. */
    @Test
    void returnsTheMemoryOfAProbesBodyWithAnInvalidTime() throws IOException {
        open();
        pool.probe("m", (result, cacheStatus, waitedUs, response) -> {});
        begin();
        receive(response(LINE.replace(ID, "p0").replace("ttfb=12.5", "ttfb=g2.5")));
        assertThat(connection.isOpen()).isFalse();
        assertThat(budget.used()).isZero();
    }

    /** Guards against any further field whose decoding fails after the body was read. */
    @Test
    void returnsTheMemoryOfABodyWhicheverByteOfItsLineIsChanged() throws IOException {
        for (int position = 0; position < LINE.length(); position++) {
            for (char noise : NOISE.toCharArray()) {
                open();
                Exchange exchange = send();
                receive(response(LINE.substring(0, position) + noise + LINE.substring(position + 1)));
                exchange.cancel();
                connection.close();
                assertThat(budget.used()).as("byte %d is %d", position, (int) noise).isZero();
            }
        }
    }
}
