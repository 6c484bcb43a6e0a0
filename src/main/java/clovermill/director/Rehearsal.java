package clovermill.director;

import clovermill.config.Config;
import clovermill.config.Json;
import clovermill.net.Clock;
import clovermill.net.Connection;
import clovermill.net.Deadlines;
import clovermill.net.EventLoop;
import clovermill.net.Listener;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Part of the build, never of the service: plays a few requests against a whole director whose members are
 * all played here too, so that the classes and lambdas that serving needs go into the archive that the JVM
 * writes at exit. Loading them anew made the first seconds of a director on a shared core slow.
 */
final class Rehearsal {

    private static final int REQUESTS = 20;
    private static final long LONGEST_US = 20_000_000;
    private static final Pattern WANT = Pattern.compile("want (\\S+) \\S+ \\d+\r\n");
    private static final Pattern POLL = Pattern.compile("resume=(\\d+)&block");

    private final Assembly director;
    private int answered;

    private Rehearsal(Assembly director) {
        this.director = director;
    }

    /** Plays against the configuration in a file; returns how many requests were answered. */
    static int play(String file) throws IOException, Json.Malformed {
        Clock clock = Clock.system();
        try (Peers peers = new Peers(clock)) {
            String text = Files.readString(Path.of(file)).replaceAll("\"(addr|channel)\":\"[^\"]*\"",
                    "\"$1\":\"" + peers.address() + "\"");
            Config config = Config.read(text, "127.0.0.1:0");
            InetSocketAddress anywhere = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
            Assembly director = new Assembly(config, Path.of(file), clock, 0, null, null, null,
                    new Platform(null, anywhere, null), new StartupRetry(clock));
            director.open();
            Rehearsal rehearsal = new Rehearsal(director);
            InetSocketAddress front = new InetSocketAddress(InetAddress.getLoopbackAddress(), director.port());
            director.loop().connect(front, rehearsal.new Client()::over);
            director.loop().connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), director.adminPort()),
                    Operator::new);
            for (long endUs = clock.micros() + LONGEST_US; rehearsal.answered < REQUESTS && clock.micros() < endUs;) {
                director.loop().turn(1);
                peers.loop.turn(1);
            }
            return rehearsal.answered;
        }
    }

    /** All members and the command channel, at one address: whoever asks is told what it asked for. */
    private static final class Peers implements AutoCloseable {
        final EventLoop loop;
        private final Listener listener;

        Peers(Clock clock) throws IOException {
            loop = new EventLoop(clock, new Deadlines());
            listener = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 100, () -> {},
                    Peer::new);
        }

        String address() {
            return "127.0.0.1:" + listener.port();
        }

        @Override
        public void close() {
            listener.close();
        }
    }

    private record Peer(Connection connection) implements Connection.Handler {

        @Override
        public void received(ByteBuffer data) {
            String text = StandardCharsets.ISO_8859_1.decode(data).toString();
            Matcher poll = POLL.matcher(text);
            if (poll.find()) {
                String body = "{\"cursor\":" + poll.group(1) + ",\"cmds\":[]}";
                say("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            }
            WANT.matcher(text).results()
                    .forEach(want -> say(want.group(1) + " DONE etag=t,made=5,res=MISS,ttfb=1 5\r\nhello\r\n"));
        }

        private void say(String text) {
            connection.send(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
        }

        @Override
        public void ended() {
            connection.close();
        }

        @Override
        public void closed(IOException cause) {}
    }

    /** Calls once. */
    private record Operator(Connection connection) implements Connection.Handler {

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

    /** Asks for one object after another, and for a write now and then. */
    private final class Client implements Connection.Handler {
        private Connection connection;

        Client over(Connection dialled) {
            connection = dialled;
            return this;
        }

        @Override
        public void connected() {
            ask();
        }

        @Override
        public void received(ByteBuffer data) {
            data.position(data.limit());
            answered++;
            ask();
        }

        private void ask() {
            String id = String.format("%016x", answered);
            boolean write = answered % 4 == 3;
            String[] fields = {"class", write ? "order" : "page", "id", id, "wait", "3000", "key", id, "seg", "0",
                "kb", "4.5", "etag", "t0", "once", id};
            ByteBuffer frame = ByteBuffer.allocate(1024).order(ByteOrder.LITTLE_ENDIAN).position(4);
            frame.put((byte) 0).putInt(answered + 1).put((byte) (fields.length / 2));
            for (int i = 0; i < fields.length; i += 2) {
                frame.put((byte) fields[i].length()).put(fields[i].getBytes(StandardCharsets.US_ASCII));
                frame.putShort((short) fields[i + 1].length()).put(fields[i + 1].getBytes(StandardCharsets.US_ASCII));
            }
            connection.send(frame.putInt(0, frame.position() - 4).flip());
        }

        @Override
        public void ended() {}

        @Override
        public void closed(IOException cause) {}
    }
}
