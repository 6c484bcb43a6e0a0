package clovermill.prove;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Pictures that operators reported: clients that misbehave by the hundred, or one at full speed, until a director
 * passed its memory limit or its other clients got their answers late or never.
 */
class ClientStormTest {

    private static final long STORM_MS = 5_000;
    /** The configuration's {@code memory_mb}. */
    private static final long MEMORY_MB = 192;
    /** The longest aim of the usual requests, an order's in the configuration. */
    private static final long AIM_MS = 800;
    /** The time that the usual clients wait. */
    private static final long DEADLINE_MS = 3_000;
    private static final int REQUESTS_PER_WRITE = 200;

    private final AtomicLong ids = new AtomicLong(1L << 40);
    private ClientStorm storm;

    @BeforeEach
    void start() throws Exception {
        storm = new ClientStorm();
    }

    @AfterEach
    void stop() throws Exception {
        storm.close();
    }

    private void assertThatOthersAreServed() throws Exception {
        ClientStorm.Outcome outcome = storm.play(STORM_MS);
        System.out.println("client-storm: " + outcome);
        assertThat(outcome.lost()).as("lost, of %s", outcome).isZero();
        assertThat(outcome.requests()).isGreaterThan(STORM_MS / 1000 * 90);
        assertThat(outcome.served()).as("served, of %s", outcome).isGreaterThan(outcome.requests() * 99 / 100);
        assertThat(outcome.p99Ms()).as("late, of %s", outcome).isLessThan(AIM_MS);
        assertThat(outcome.maxMs()).as("late, of %s", outcome).isLessThan(DEADLINE_MS);
        assertThat(outcome.peakMemoryMb()).as("memory, of %s", outcome).isBetween(1L, MEMORY_MB);
    }

    /** 200 clients at once whose requests come a few bytes at a time, and never to an end. */
    @Test
    void hundredsOfClientsThatWriteSlowly() throws Exception {
        storm.with(200, (socket, client) -> {
            byte[] request = ClientStorm.request(1, ClientStorm.fields("order", ids.incrementAndGet()), 40_000);
            for (int sent = 0; sent < request.length && !storm.isStopped(); sent += 100) {
                socket.getOutputStream().write(request, sent, Math.min(100, request.length - sent));
                Thread.sleep(20);
            }
        });
        assertThatOthersAreServed();
    }

    /** 200 clients at once that stop half way through a request of the largest length that a frame may have. */
    @Test
    void hundredsOfClientsThatStopHalfWayThroughALargeRequest() throws Exception {
        storm.with(200, (socket, client) -> {
            byte[] request = ClientStorm.request(1, ClientStorm.fields("order", ids.incrementAndGet()), 261_000);
            socket.getOutputStream().write(request, 0, request.length / 2);
            assertThat(socket.getInputStream().readAllBytes()).isNotNull();
        });
        assertThatOthersAreServed();
    }

    /** 200 clients at once that send heads with as many short fields as a head can have, without a pause. */
    @Test
    void hundredsOfClientsThatSendHeadsOfVeryManyShortFields() throws Exception {
        Map<String, String> fields = new LinkedHashMap<>();
        for (int i = 0; i < 255; i++) {
            fields.put(Character.toString('a' + i % 26) + (char) ('a' + i / 26), "");
        }
        byte[] head = ClientStorm.request(1, fields, 0);
        storm.with(200, (socket, client) -> {
            ClientStorm.discardAnswers(socket);
            sendNumbered(socket, head, 4);
        });
        assertThatOthersAreServed();
    }

    /** One client whose requests are unsound, at full speed, and which reads the answers. */
    @Test
    void oneClientWithUnsoundRequestsAtFullSpeed() throws Exception {
        byte[] request = ClientStorm.request(1, ClientStorm.fields("nothing", 1), 0);
        storm.with(1, (socket, client) -> {
            ClientStorm.discardAnswers(socket);
            sendNumbered(socket, request, REQUESTS_PER_WRITE);
        });
        assertThatOthersAreServed();
    }

    /** The same of a client that reads nothing. */
    @Test
    void oneClientWithUnsoundRequestsAtFullSpeedThatReadsNothing() throws Exception {
        byte[] request = ClientStorm.request(1, ClientStorm.fields("nothing", 1), 0);
        storm.with(1, (socket, client) -> sendNumbered(socket, request, REQUESTS_PER_WRITE));
        assertThatOthersAreServed();
    }

    /** One client with sound requests for ever new objects, under ever new ids and keys, at full speed. */
    @Test
    void oneClientWithEverNewNamesAtFullSpeed() throws Exception {
        storm.with(1, (socket, client) -> {
            ClientStorm.discardAnswers(socket);
            OutputStream out = socket.getOutputStream();
            for (int stream = 1; !storm.isStopped();) {
                ByteArrayOutputStream requests = new ByteArrayOutputStream();
                for (int i = 0; i < REQUESTS_PER_WRITE; i++) {
                    String className = stream % 2 == 0 ? "page" : "class" + stream;
                    requests.write(
                            ClientStorm.request(stream++, ClientStorm.fields(className, ids.incrementAndGet()), 0));
                }
                out.write(requests.toByteArray());
            }
        });
        assertThatOthersAreServed();
    }

    /** One client that asks whether the director is ready, at full speed, and reads the answers. */
    @Test
    void oneClientWithReadinessRequestsAtFullSpeed() throws Exception {
        storm.with(1, (socket, client) -> {
            ClientStorm.discardAnswers(socket);
            sendForever(socket, new byte[] {6, 0, 0, 0, 6, 1, 0, 0, 0, 0});
        });
        assertThatOthersAreServed();
    }

    /** Some clients that ask so and read nothing. */
    @Test
    void clientsWithReadinessRequestsAtFullSpeedThatReadNothing() throws Exception {
        storm.with(20, (socket, client) -> sendForever(socket, new byte[] {6, 0, 0, 0, 6, 1, 0, 0, 0, 0}));
        assertThatOthersAreServed();
    }

    /** One client that cancels what it never asked for, at full speed. */
    @Test
    void oneClientWithCancellationsAtFullSpeed() throws Exception {
        storm.with(1, (socket, client) -> {
            ClientStorm.discardAnswers(socket);
            sendForever(socket, new byte[] {5, 0, 0, 0, 2, 9, 0, 0, 0});
        });
        assertThatOthersAreServed();
    }

    private void sendForever(Socket socket, byte[] frame) throws IOException {
        byte[] block = new byte[frame.length * 5_000];
        for (int i = 0; i < 5_000; i++) {
            System.arraycopy(frame, 0, block, i * frame.length, frame.length);
        }
        while (!storm.isStopped()) {
            socket.getOutputStream().write(block);
        }
    }

    /** Sends a request under ever new stream numbers, so many in one write. */
    private void sendNumbered(Socket socket, byte[] request, int perWrite) throws IOException {
        for (int stream = 1; !storm.isStopped();) {
            byte[] block = new byte[request.length * perWrite];
            for (int i = 0; i < perWrite; i++, stream++) {
                byte[] numbered = Arrays.copyOf(request, request.length);
                for (int b = 0; b < 4; b++) {
                    numbered[5 + b] = (byte) (stream >> 8 * b);
                }
                System.arraycopy(numbered, 0, block, i * request.length, request.length);
            }
            socket.getOutputStream().write(block);
        }
    }
}
