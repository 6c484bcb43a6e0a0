package clovermill.director;

import clovermill.config.Config;
import clovermill.config.Json;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Connection;
import clovermill.runtime.net.ConnectionHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Part of the build, never of the service: sends a few requests through a complete director whose endpoints and
 * discovery service are fakes in this process. The archive that the JVM writes at exit (class data sharing) then
 * contains the classes and lambdas that serving needs. Without it, loading them slows down the first seconds of a
 * director on a shared core.
 */
final class ClassDataArchiveRun {

    private static final int REQUESTS = 20;
    private static final long TIMEOUT_US = 20_000_000;
    private static final long TURN_MS = 1;

    private int answered;

    private ClassDataArchiveRun() {}

    /**
     * Runs the director of a configuration file, with all addresses replaced by that of the fakes.
     *
     * @return the number of answered requests
     * @throws IOException if the file cannot be read or a loopback socket cannot be opened
     * @throws Json.Malformed if the configuration cannot be used
     */
    static int run(String configFile) throws IOException, Json.Malformed {
        Clock clock = Clock.system();
        try (ArchiveRunPeers peers = new ArchiveRunPeers(clock)) {
            String text = Files.readString(Path.of(configFile)).replaceAll("\"(addr|channel)\":\"[^\"]*\"",
                    "\"$1\":\"" + peers.address() + "\"");
            Platform platform = new Platform(Optional.empty(), Optional.of(loopback(0)), Optional.empty());
            Assembly director = new Assembly(Config.read(text, "127.0.0.1:0"), Path.of(configFile), clock, 0,
                    SubsystemSettings.NONE, platform, new StartupRetry(clock));
            director.open();
            return new ClassDataArchiveRun().serve(director, peers, clock);
        }
    }

    private int serve(Assembly director, ArchiveRunPeers peers, Clock clock) throws IOException {
        director.loop().connect(loopback(director.port()), new Client()::attach);
        director.loop().connect(loopback(director.adminPort()), Operator::new);
        long endUs = clock.micros() + TIMEOUT_US;
        while (answered < REQUESTS && clock.micros() < endUs) {
            director.loop().turn(TURN_MS);
            peers.turn(TURN_MS);
        }
        return answered;
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Sends one admin request and ignores the response. */
    private record Operator(Connection connection) implements ConnectionHandler {

        @Override
        public void connected() {
            connection.send(ByteBuffer.wrap("GET /ready HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII)));
        }

        @Override
        public void received(ByteBuffer data) {
            data.position(data.limit());
        }

        @Override
        public void ended() {
            connection.close();
        }

        @Override
        public void closed(IOException cause) {}
    }

    /** Sends one request after another; each fourth request is a write. */
    private final class Client implements ConnectionHandler {
        private static final int FRAME_CAPACITY = 1024;
        private static final int LENGTH_BYTES = 4;
        private static final int WRITE_INTERVAL = 4;

        private Connection connection;

        Client attach(Connection dialed) {
            connection = dialed;
            return this;
        }

        @Override
        public void connected() {
            sendRequest();
        }

        @Override
        public void received(ByteBuffer data) {
            data.position(data.limit());
            answered++;
            sendRequest();
        }

        private void sendRequest() {
            String id = String.format("%016x", answered);
            boolean write = answered % WRITE_INTERVAL == WRITE_INTERVAL - 1;
            String[] fields = {"class", write ? "order" : "page", "id", id, "wait", "3000", "key", id, "seg", "0",
                "kb", "4.5", "etag", "t0", "once", id};
            ByteBuffer frame = ByteBuffer.allocate(FRAME_CAPACITY).order(ByteOrder.LITTLE_ENDIAN)
                    .position(LENGTH_BYTES);
            frame.put((byte) 0).putInt(answered + 1).put((byte) (fields.length / 2));
            for (int i = 0; i < fields.length; i += 2) {
                frame.put((byte) fields[i].length()).put(fields[i].getBytes(StandardCharsets.US_ASCII));
                frame.putShort((short) fields[i + 1].length()).put(fields[i + 1].getBytes(StandardCharsets.US_ASCII));
            }
            connection.send(frame.putInt(0, frame.position() - LENGTH_BYTES).flip());
        }

        @Override
        public void ended() {}

        @Override
        public void closed(IOException cause) {}
    }
}
