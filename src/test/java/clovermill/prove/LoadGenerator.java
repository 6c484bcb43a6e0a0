package clovermill.prove;

import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.ConnectionHandler;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.HdrHistogram.Histogram;

/**
 * Clients of one director: an open-loop load of so many requests a second over a few connections. A connection is
 * reopened when it is lost or when the director announces its shutdown; the old one is closed once all its requests
 * have a response. Counts every received byte of a body, also of truncated responses, and measures latency from the
 * time at which a request was scheduled, so that it includes the time in a queue.
 */
public final class LoadGenerator {

    private static final int CONNECTIONS = 8;
    private static final long TICK_US = 2_000;

    private final Clock clock = Clock.system();
    private final Deadlines deadlines = new Deadlines();
    private final EventLoop loop;
    private final int port;
    private final double requestsPerUs;
    private final int kb;
    private final int popularityExponent;
    /** The first digits of every key, which set the body size; null if they depend on the object. */
    private final String keyPrefix;
    private final Random random;
    private final List<Client> clients = new ArrayList<>();
    private final Thread thread;
    private final long startUs = clock.micros();
    private long scheduled;
    private boolean draining;
    /** Read after {@link #close} only. */
    public final Histogram latencyUs = new Histogram(60_000_000L, 3);
    public volatile long bodyBytes;
    public volatile long requests;
    public volatile long responses;
    /** Requests whose connection closed without a response. */
    public volatile long lost;
    /** Responses to streams that had no open request. */
    public volatile long duplicates;
    /** Connections that could not be opened. */
    volatile long connectFailures;
    public volatile long served;

    LoadGenerator(int port, int requestsPerSecond, long seed) throws IOException {
        this(port, requestsPerSecond, seed, 4, 1);
    }

    /** Starts a load with parts of {@code kb} KB; an exponent above 1 makes some objects more popular. */
    public LoadGenerator(int port, int requestsPerSecond, long seed, int kb, int popularityExponent)
            throws IOException {
        this(port, requestsPerSecond, seed, kb, popularityExponent, null);
    }

    /** Starts a load whose keys share a prefix of four hex digits, and so one body size at {@link FakeUpstreams}. */
    public LoadGenerator(int port, int requestsPerSecond, long seed, int kb, int popularityExponent, String keyPrefix)
            throws IOException {
        this.port = port;
        this.keyPrefix = keyPrefix;
        this.kb = kb;
        this.popularityExponent = popularityExponent;
        this.requestsPerUs = requestsPerSecond / 1e6;
        this.random = new Random(seed);
        loop = new EventLoop(clock, deadlines);
        for (int i = 0; i < CONNECTIONS; i++) {
            Client client = new Client();
            clients.add(client);
            client.connect();
        }
        tick();
        thread = new Thread(() -> {
            try {
                loop.run();
            } catch (IOException failure) {
                throw new IllegalStateException(failure);
            }
        }, "load");
        thread.setDaemon(true);
        thread.start();
    }

    private void tick() {
        long nowUs = clock.micros();
        for (long target = (long) ((nowUs - startUs) * requestsPerUs); !draining && scheduled < target; scheduled++) {
            clients.get((int) (scheduled % CONNECTIONS)).sendRequest(startUs + (long) (scheduled / requestsPerUs));
        }
        deadlines.add(nowUs + TICK_US, this::tick);
    }

    /** Sends requests on its current connection. */
    private final class Client {
        private Link current;

        void connect() {
            current = new Link(this);
            try {
                current.connection = loop.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                        c -> current);
            } catch (IOException failure) {
                connectFailures++;
                deadlines.add(clock.micros() + 20_000, this::connect);
            }
        }

        void sendRequest(long dueUs) {
            current.sendRequest(dueUs);
        }
    }

    private final class Link implements ConnectionHandler {
        private final Client client;
        private final Map<Integer, Long> open = new HashMap<>();
        private Connection connection;
        private boolean connected;
        private boolean leaving;
        private int stream;
        private byte[] buffered = {};
        private long partialBodyBytes;

        Link(Client client) {
            this.client = client;
        }

        @Override
        public void connected() {
            connected = true;
        }

        void sendRequest(long dueUs) {
            if (!connected || open.size() >= 30) {
                return;
            }
            boolean hasEffect = random.nextInt(30) == 0;
            int object = (int) (5000 * Math.pow(random.nextDouble(), popularityExponent));
            String key = (keyPrefix != null ? keyPrefix : String.format("%04x", (object * 7919) % 20_000))
                    + String.format("%012x", object);
            Map<String, String> fields = new HashMap<>();
            fields.put("class", hasEffect ? "order" : "page");
            fields.put("id", String.format("%016x", random.nextLong()));
            fields.put("wait", "3000");
            fields.put("key", key);
            fields.put("bucket", "" + object % 256);
            fields.put("kb", "" + kb);
            if (hasEffect) {
                fields.put("once", String.format("%016x", random.nextLong()));
            }
            requests++;
            open.put(++stream, dueUs);
            ByteBuffer frame = ByteBuffer.allocate(1024).order(ByteOrder.LITTLE_ENDIAN).position(4);
            frame.put((byte) 0).putInt(stream).put((byte) fields.size());
            fields.forEach((name, value) -> {
                frame.put((byte) name.length()).put(name.getBytes(StandardCharsets.US_ASCII));
                frame.putShort((short) value.length()).put(value.getBytes(StandardCharsets.US_ASCII));
            });
            connection.send(frame.putInt(0, frame.position() - 4).flip());
        }

        @Override
        public void received(ByteBuffer data) {
            byte[] all = Arrays.copyOf(buffered, buffered.length + data.remaining());
            data.get(all, buffered.length, data.remaining());
            ByteBuffer in = ByteBuffer.wrap(all).order(ByteOrder.LITTLE_ENDIAN);
            while (in.remaining() >= 4 && in.remaining() >= 4 + in.getInt(in.position())) {
                ByteBuffer frame = in.slice(in.position() + 4, in.getInt(in.position())).order(ByteOrder.LITTLE_ENDIAN);
                in.position(in.position() + 4 + frame.remaining());
                frameReceived(frame);
                partialBodyBytes = 0;
            }
            buffered = Arrays.copyOfRange(all, in.position(), all.length);
            ByteBuffer rest = ByteBuffer.wrap(buffered).order(ByteOrder.LITTLE_ENDIAN);
            long bodySoFar = rest.remaining() < 9 ? 0 : bodyBytes(rest.position(4));
            bodyBytes += bodySoFar - partialBodyBytes;
            partialBodyBytes = bodySoFar;
        }

        /** Returns the number of body bytes received so far in a frame's payload. */
        private static long bodyBytes(ByteBuffer frame) {
            try {
                if (frame.get() != 1) {
                    return 0;
                }
                frame.getInt();
                frame.get();
                for (int i = frame.get(); i > 0; i--) {
                    int name = frame.get();
                    frame.position(frame.position() + name);
                    int value = frame.getShort();
                    frame.position(frame.position() + value);
                }
                return frame.remaining();
            } catch (BufferUnderflowException | IllegalArgumentException incomplete) {
                return 0;
            }
        }

        private void frameReceived(ByteBuffer frame) {
            byte type = frame.get(0);
            if (type == 9 && !leaving) {
                leaving = true;
                client.connect();
            }
            if (type == 1) {
                responseReceived(frame);
            }
            if (leaving && open.isEmpty()) {
                connection.close();
            }
        }

        private void responseReceived(ByteBuffer frame) {
            Long dueUs = open.remove(frame.getInt(1));
            if (dueUs != null) {
                responses++;
                served += frame.get(5) == 79 ? 1 : 0;
                latencyUs.recordValue(Math.max(1, Math.min(60_000_000L, clock.micros() - dueUs)));
            } else {
                duplicates++;
            }
            bodyBytes += bodyBytes(frame) - partialBodyBytes;
        }

        @Override
        public void ended() {
            connection.close();
        }

        @Override
        public void closed(IOException cause) {
            lost += open.size();
            connectFailures += connected ? 0 : 1;
            if (!leaving) {
                deadlines.add(clock.micros() + 20_000, client::connect);
            }
        }
    }

    /** Stops sending requests; returns when all have a response or the time-out has expired. */
    public void drain(long timeoutMs) throws InterruptedException {
        loop.post(() -> draining = true);
        for (long i = 0; i < timeoutMs && requests > responses + lost; i += 10) {
            Thread.sleep(10);
        }
    }

    /** Stops the load; the counters do not change afterwards. */
    public void close() throws InterruptedException {
        loop.post(loop::stop);
        thread.join();
    }
}
