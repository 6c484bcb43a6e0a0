package clovermill.prove;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Clients that misbehave against a real director, beside usual clients by whose answers the director is judged. */
final class ClientStorm {

    private static final int USUAL_REQUESTS_PER_S = 100;
    /** Objects of 512 bytes at the fakes. */
    private static final String SMALL_OBJECTS = "0200";
    private static final long SETTLE_MS = 1_000;

    /** What one misbehaving client does on a connection, again and again until the storm ends. */
    interface Behaviour {
        void run(Socket socket, int client) throws IOException, InterruptedException;
    }

    /**
     * What the usual clients and the system saw.
     *
     * @param requests the requests of the usual clients
     * @param served those that were served
     * @param lost those whose connection closed without an answer, or that got none
     * @param p99Ms the 99th percentile of their latency in milliseconds
     * @param maxMs the longest latency in milliseconds
     * @param peakMemoryMb the largest resident memory of the director
     */
    record Outcome(long requests, long served, long lost, long p99Ms, long maxMs, long peakMemoryMb) {}

    private final Path root = Files.createTempDirectory("client-storm");
    private final FakeUpstreams upstreams = new FakeUpstreams();
    private final DirectorProcess director;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    ClientStorm() throws Exception {
        String known = "{\"cursor\":1,\"cmds\":[{\"cursor\":1,\"nodes\":{\"version\":1,\"full\":true,\"servers\":["
                + member("s-1", "edge", "std") + "," + member("p-1", "north", "parent") + ","
                + member("o-1", "north", "origin") + "]}}]}";
        director = DirectorProcess.start(root, Map.entry(upstreams.address(), known), 0, 1, null);
        director.awaitReady();
    }

    private String member(String id, String zone, String kind) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + upstreams.address() + "\",\"zone\":\"" + zone + "\",\"kind\":\""
                + kind + "\",\"cell\":1,\"state\":\"ready\",\"weight\":20,\"started_ms\":0}";
    }

    /** Adds clients that open connections and behave so on each, in turn. */
    ClientStorm with(int clients, Behaviour behaviour) {
        for (int i = 0; i < clients; i++) {
            int client = i;
            Thread thread = new Thread(() -> repeat(behaviour, client), "storm-" + i);
            thread.setDaemon(true);
            threads.add(thread);
        }
        return this;
    }

    private void repeat(Behaviour behaviour, int client) {
        while (!stopped) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), director.port)) {
                socket.setTcpNoDelay(true);
                behaviour.run(socket, client);
            } catch (IOException ended) {
                // The director has closed the connection, as it may.
            } catch (InterruptedException stop) {
                return;
            }
        }
    }

    /** Plays the usual clients, and the storm after the first second, for so long. */
    Outcome play(long stormMs) throws Exception {
        LoadGenerator usual = new LoadGenerator(director.port, USUAL_REQUESTS_PER_S, 7, 1, 1, SMALL_OBJECTS);
        Thread.sleep(SETTLE_MS);
        threads.forEach(Thread::start);
        Thread.sleep(stormMs);
        stopped = true;
        threads.forEach(Thread::interrupt);
        usual.drain(5_000);
        usual.close();
        return new Outcome(usual.requests, usual.served, usual.lost + usual.requests - usual.responses - usual.lost,
                usual.latencyUs.getValueAtPercentile(99) / 1000, usual.latencyUs.getMaxValue() / 1000, peakMemoryMb());
    }

    /** Returns the peak of the resident memory, 0 if the process has ended. */
    private long peakMemoryMb() throws IOException {
        Path status = Path.of("/proc/" + director.process.pid() + "/status");
        return !director.process.isAlive() ? 0
                : Files.readAllLines(status).stream().filter(line -> line.startsWith("VmHWM:"))
                        .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", ""))).sum() / 1024;
    }

    /** Returns a request frame with a body of zeros. */
    static byte[] request(int stream, Map<String, String> fields, int bodyBytes) {
        ByteBuffer frame = ByteBuffer.allocate(1 << 18).order(ByteOrder.LITTLE_ENDIAN).position(4);
        frame.put((byte) 0).putInt(stream).put((byte) fields.size());
        fields.forEach((name, value) -> {
            frame.put((byte) name.length()).put(name.getBytes(StandardCharsets.US_ASCII));
            frame.putShort((short) value.length()).put(value.getBytes(StandardCharsets.US_ASCII));
        });
        frame.position(frame.position() + bodyBytes);
        byte[] bytes = new byte[frame.position()];
        frame.putInt(0, frame.position() - 4).get(0, bytes);
        return bytes;
    }

    /** Returns the fields of a sound request. */
    static Map<String, String> fields(String className, long id) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("class", className);
        fields.put("id", String.format("%016x", id));
        fields.put("wait", "1000");
        fields.put("key", SMALL_OBJECTS + String.format("%012x", id & 0xffffffffffffL));
        fields.put("once", String.format("%016x", id));
        return fields;
    }

    /** Reads and discards all that the director sends on a connection, on a thread of its own. */
    static void discardAnswers(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        Thread reader = new Thread(() -> {
            try {
                in.transferTo(OutputStream.nullOutputStream());
            } catch (IOException ended) {
                // The connection is closed by either side.
            }
        }, "storm-reader");
        reader.setDaemon(true);
        reader.start();
    }

    boolean isStopped() {
        return stopped;
    }

    /** Ends the storm and the director. */
    void close() throws Exception {
        stopped = true;
        DirectorProcess.stopAll(List.of(director), root);
        upstreams.close();
    }
}
