package clovermill.director;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.config.Config;
import clovermill.ledger.LedgerSettings;
import clovermill.runtime.net.ManualClock;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Runs a scenario script against a complete director on loopback sockets, with a clock that only {@code wait} advances.
 *
 * <pre>
 * send c1 request 1 class=page ... | body     a frame from the client connection c1, which is opened if necessary;
 *                                             also give-up N, ready N, hex BYTES
 * send s-1 ID DONE etag=t | bytes             a response of a member on its newest connection; raw TEXT: unchanged
 * send channel {...}                          a response of the command channel; raw TEXT: unchanged
 * send director TERM                          also HUP channel=ADDRESS, HUP TEXT, HUP alone (an empty
 *                                             file), HUP edit OLD -> NEW ;; OLD -> NEW:
 *                                             a new configuration; FILE with
 *                                             the same: without a signal; FILE - removes it; DEAF: SIGHUP is ignored
 * send op PUT /path BODY                      an operator's call to the admin service; names start with op, those that
 *                                             end in -previous call the earlier process
 * expect op 200 | text                        its response
 * send director BESIDE TEXT                   another process of it exists, with that text in its file; ALONE: removed
 * send director HANDED TEXT                   what the earlier process hands to this one: its endpoint list and purges
 * expect director handed TEXT                 what this process has handed to the one that BESIDE added, contains TEXT
 * start director MS                           starts another process next to the current one, ready after so long;
 *                                             "director" is the earlier one from then on, until it has stopped
 * expect c1 served 1 etag=t | bytes           also refused, failed, leaving, ready, unready; nothing; closed,
 *                                             ignoring what was received before
 * expect s-1 want ID name=value !name         also never_mind ID, closed, nothing
 * expect channel resume=1                     a poll of the command channel; expect director stopped
 * expect director marked ready                in the folder that the processes share; starts: it accepts no connections
 * close c1                                    in both directions; with half: only sending; with reset: by a reset
 * close s-1 listener                          connections are refused; with deaf: they are never established
 * close c1 deaf                               stops reading, until: open c1
 * wait 400                                    milliseconds
 * settle 100                                  milliseconds of real time, in which the system acknowledges what was read
 * step -3600000                               steps the wall clock by milliseconds; ${now} stays the true time
 * times 3 STEP                                repeats the step with # replaced by 10, 11 and 12
 * together STEP ;; STEP                       sends and closes that the director processes in one turn, in that order
 * </pre>
 */
final class Scenario implements AutoCloseable {

    private static final List<String> RESPONSE_TYPES = List.of("O served", "B refused", "E failed");
    private static final int MAX_TURNS = 400;

    private final ManualClock clock = new ManualClock(1_700_000_000_000_000L);
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private final List<SocketChannel> fillers = new ArrayList<>();
    private final Path folder;
    private final ServerSocketChannel passedSocket;
    private Assembly director;
    private Assembly previous;
    private boolean batching;

    /** A connection of a peer and the data received on it. */
    private static final class Link {
        final SocketChannel channel;
        byte[] read = {};
        boolean ended;

        Link(SocketChannel channel) throws IOException {
            this.channel = channel;
            channel.configureBlocking(false);
        }

        void poll() {
            ByteBuffer buffer = ByteBuffer.allocate(1 << 16);
            try {
                while (!ended && channel.read(buffer.clear()) != 0) {
                    int count = buffer.flip().remaining();
                    ended = count == 0;
                    int old = read.length;
                    read = Arrays.copyOf(read, old + count);
                    buffer.get(read, old, count);
                }
            } catch (IOException reset) {
                ended = true;
            }
        }

        byte[] consume(int count) {
            byte[] consumed = Arrays.copyOf(read, count);
            read = Arrays.copyOfRange(read, count, read.length);
            return consumed;
        }
    }

    /** A client with its one connection, or a listening peer; {@code link} is the connection used last. */
    private static final class Peer {
        boolean operator;
        ServerSocketChannel listener;
        String address;
        boolean deaf;
        Link link;
        final List<Link> links = new ArrayList<>();
        final Map<String, Link> requestLinks = new HashMap<>();

        /** Reads received data; replaces a link that has ended by a newer connection. */
        void poll() throws IOException {
            if (listener == null && deaf) {
                return; // a client that has stopped reading
            }
            boolean accepts = listener != null && !deaf && listener.isOpen();
            for (SocketChannel newer; accepts && (newer = listener.accept()) != null;) {
                links.add(new Link(newer));
            }
            links.forEach(Link::poll);
            if (!links.isEmpty() && (link == null || link.ended)) {
                Link newest = links.get(links.size() - 1);
                link = link == null || !newest.ended ? newest : link;
            }
        }

        boolean ended() {
            return link != null && link.ended;
        }
    }

    Scenario(long settleUs) throws Exception {
        this(settleUs, null);
    }

    Scenario(long settleUs, LedgerSettings ledger) throws Exception {
        this(settleUs, ledger, false);
    }

    /** Starts a director; {@code ledger} may be null; with {@code upgrades} it is passed its listening socket. */
    Scenario(long settleUs, LedgerSettings ledger, boolean upgrades) throws Exception {
        for (String name : List.of("s-1", "s-2", "p-1", "o-1", "channel")) {
            Peer peer = new Peer();
            peer.listener = ServerSocketChannel.open();
            peer.listener.configureBlocking(false);
            peer.listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
            peer.address = "127.0.0.1:" + peer.listener.socket().getLocalPort();
            peers.put(name, peer);
        }
        folder = Files.createTempDirectory("scenario");
        Files.writeString(configurationFile(), configuration());
        passedSocket =
                upgrades ? ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        : null;
        director = startDirector(settleUs, ledger);
    }

    private Assembly startDirector(long settleUs, LedgerSettings ledger) throws Exception {
        Config config = Config.read(configuration(), null);
        Platform platform = new Platform(Optional.ofNullable(passedSocket), Optional.ofNullable(config.admin()),
                passedSocket == null ? Optional.empty() : Optional.of(folder.resolve("shared")));
        SubsystemSettings subsystems = new SubsystemSettings(Optional.ofNullable(ledger), Optional.empty(),
                Optional.empty());
        Assembly assembly = new Assembly(config, configurationFile(), clock, settleUs, subsystems, platform,
                new StartupRetry(clock));
        assembly.open();
        return assembly;
    }

    private String configuration() throws IOException {
        return expandPlaceholders(Files.readString(Path.of("src/test/resources/director.json")));
    }

    private Path configurationFile() {
        return folder.resolve("config.json");
    }

    private void controlDirector(String what) throws IOException {
        String[] parts = what.split(" ", 2);
        switch (parts[0]) {
            case "TERM" -> (previous != null ? previous : director).shutDown();
            case "BESIDE" -> Files.writeString(folder.resolve("shared").resolve("here-1"), parts[1]);
            case "HANDED" -> Files.writeString(folder.resolve("shared")
                    .resolve("list-" + ProcessHandle.current().pid()), parts[1]);
            case "ALONE" -> Files.delete(folder.resolve("shared").resolve("here-1"));
            case "DEAF" -> director.reloader().pollAlways();
            default -> {
                String text = parts.length > 1 ? parts[1] : "";
                if (text.equals("-")) {
                    Files.delete(configurationFile());
                } else {
                    Files.writeString(configurationFile(), text.startsWith("channel=") ? configuration().replaceAll(
                            "\"channel\":\"[^\"]*\"", "\"channel\":\"" + text.substring(8) + "\"")
                            : text.startsWith("edit ") ? editConfiguration(text.substring(5)) : text);
                }
                if (parts[0].equals("HUP")) {
                    director.reloader().reload();
                }
            }
        }
    }

    /** Returns the configuration with texts replaced: {@code OLD -> NEW ;; OLD -> NEW}. */
    private String editConfiguration(String edits) throws IOException {
        String text = configuration();
        for (String edit : edits.split(" ;; ")) {
            String[] change = edit.split(" -> ", 2);
            if (!text.contains(change[0])) {
                throw new IllegalArgumentException("the configuration has no " + change[0]);
            }
            text = text.replace(change[0], change[1]);
        }
        return text;
    }

    /** Replaces the placeholders of addresses, and {@code ${now}} by the current time. */
    private String expandPlaceholders(String text) {
        String result = text.replace("${now}", Long.toString(clock.trueMs()));
        for (Map.Entry<String, Peer> peer : peers.entrySet()) {
            if (peer.getValue().listener != null) {
                result = result.replace("${" + peer.getKey() + "}", peer.getValue().address);
            }
        }
        return result;
    }

    /** Runs all lines; a failure reports the line. */
    void run(List<String> lines) throws Exception {
        for (int i = 0; i < lines.size(); i++) {
            String line = expandPlaceholders(lines.get(i).strip());
            if (!line.isEmpty() && !line.startsWith("#")) {
                try {
                    step(line.split(" ", 2)[0], line.split(" ", 2)[1]);
                } catch (AssertionError | RuntimeException | IOException failure) {
                    throw new AssertionError("line " + (i + 1) + ": " + line + ": " + failure.getMessage(), failure);
                }
            }
        }
    }

    private void step(String verb, String rest) throws Exception {
        String[] parts = rest.split(" ", 2);
        switch (verb) {
            case "times" -> {
                for (int i = 10; i < 10 + Integer.parseInt(parts[0]); i++) {
                    String[] repeated = parts[1].replace("#", "" + i).split(" ", 2);
                    step(repeated[0], repeated[1]);
                }
            }
            case "together" -> {
                batching = true;
                for (String each : rest.split(" ;; ")) {
                    step(each.split(" ", 2)[0], each.split(" ", 2)[1]);
                }
                batching = false;
                turn(1);
            }
            case "wait" -> {
                for (long i = Long.parseLong(rest); i > 0; i -= 10) {
                    clock.passMs(Math.min(10, i));
                    turn(0);
                }
            }
            case "settle" -> {
                for (long endNs = System.nanoTime() + Long.parseLong(rest) * 1_000_000; System.nanoTime() < endNs;) {
                    turn(1);
                }
            }
            case "step" -> clock.stepMs(Long.parseLong(rest));
            case "send" -> send(parts[0], parts[1]);
            case "expect" -> expect(parts[0], parts[1]);
            case "start" -> {
                previous = director;
                director = startDirector(Long.parseLong(rest.split(" ")[1]) * 1000, null);
            }
            case "open" -> peer(rest).deaf = false;
            case "close" -> close(parts[0], parts.length > 1 ? parts[1] : "");
            default -> throw new IllegalArgumentException("unknown verb");
        }
    }

    private void turn(long maxWaitMs) throws IOException {
        if (batching) {
            return;
        }
        if (previous != null) {
            previous.loop().turn(0);
        }
        director.loop().turn(maxWaitMs);
        for (Peer peer : peers.values()) {
            peer.poll();
        }
    }

    private Peer peer(String name) throws IOException {
        Peer peer = peers.get(name);
        if (peer == null) {
            peer = new Peer();
            SocketChannel channel = SocketChannel.open();
            channel.setOption(StandardSocketOptions.SO_RCVBUF, 1 << 16);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true); // else a second request may come 40 ms later
            peer.operator = name.startsWith("op");
            channel.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), peer.operator
                    ? (name.endsWith("-previous") ? previous : director).adminPort()
                    : passedSocket != null ? passedSocket.socket().getLocalPort() : director.port()));
            peer.links.add(new Link(channel));
            peers.put(name, peer);
        }
        peer.poll();
        return peer;
    }

    private void send(String who, String what) throws IOException {
        if (who.equals("director")) {
            controlDirector(what);
            return;
        }
        Peer peer = peer(who);
        ByteBuffer bytes = ByteBuffer.wrap(what.startsWith("raw ") ? unescaped(what.substring(4))
                : peer.operator ? adminCall(what)
                : who.equals("channel") ? channelResponse(what) : peer.listener != null ? memberResponse(what)
                : frame(what));
        peer.link = peer.requestLinks.getOrDefault(what.split(" ")[0], peer.link);
        for (int i = 0; i < MAX_TURNS && bytes.hasRemaining(); i++) {
            peer.link.channel.write(bytes);
            turn(0);
        }
        turn(1);
    }

    private static byte[] unescaped(String text) {
        return text.replace("\\r", "\r").replace("\\n", "\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] adminCall(String what) {
        String[] words = what.split(" ", 3);
        String body = words.length < 3 ? "" : words[2];
        return (words[0] + " " + words[1] + " HTTP/1.1\r\nHost: here\r\n" + (body.isEmpty() ? ""
                : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body).getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] channelResponse(String body) {
        return ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Returns the text after the bar, or N times x for {@code *N}. */
    private static String body(String[] parts) {
        String text = parts.length > 1 ? parts[1].stripTrailing() : "";
        return text.startsWith("*") ? "x".repeat(Integer.parseInt(text.substring(1))) : text;
    }

    private static byte[] memberResponse(String what) {
        String[] parts = (what + " ").split(" \\| ?", 2);
        String body = body(parts);
        return (parts[0].strip() + " " + body.length() + "\r\n" + body + "\r\n").getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] frame(String what) {
        String[] parts = (what + " ").split(" \\| ?", 2);
        String[] words = parts[0].strip().split(" ");
        if (words[0].equals("hex")) {
            return HexFormat.of().parseHex(words[1]);
        }
        ByteBuffer frame = ByteBuffer.allocate(70_000).order(ByteOrder.LITTLE_ENDIAN).position(4);
        frame.put((byte) List.of("request", "", "give-up", "", "", "", "ready").indexOf(words[0]));
        frame.putInt(Integer.parseInt(words[1]));
        if (!words[0].equals("give-up")) {
            frame.put((byte) (words.length - 2));
        }
        for (int i = 2; i < words.length; i++) {
            String[] field = words[i].split("=", 2);
            frame.put((byte) field[0].length()).put(field[0].getBytes(StandardCharsets.US_ASCII));
            frame.putShort((short) field[1].length()).put(field[1].getBytes(StandardCharsets.US_ASCII));
        }
        frame.put(body(parts).getBytes(StandardCharsets.US_ASCII));
        return Arrays.copyOf(frame.putInt(0, frame.position() - 4).array(), frame.position());
    }

    private void expect(String who, String what) throws IOException {
        if (what.startsWith("marked ")) {
            String mark = Files.readString(folder.resolve("shared").resolve("here-" + ProcessHandle.current().pid()));
            assertThat(mark.split(" ")[1]).isEqualTo(what.substring("marked ".length()));
            return;
        }
        if (what.startsWith("handed ")) {
            assertThat(Files.readString(folder.resolve("shared").resolve("list-1")))
                    .contains(what.substring("handed ".length()));
            return;
        }
        if (who.equals("director")) {
            (previous != null ? previous : director).loop().run();
            previous = null;
            return;
        }
        Peer peer = peer(who);
        String got = null;
        boolean expectNothing = what.equals("nothing");
        boolean expectClosed = what.equals("closed");
        for (int i = 0; i < (expectNothing ? 20 : MAX_TURNS)
                && (got == null || !expectNothing && !matches(what, got)); i++) {
            got = expectClosed ? null : peer.operator ? httpResponse(peer.link)
                    : peer.listener == null ? clientFrame(peer.link)
                    : nextRequest(peer, what);
            if (got == null && peer.ended() && (peer.listener == null || expectClosed)
                    || got != null && peer.listener == null) {
                break;
            }
            turn(expectNothing ? 0 : 1);
            peer.poll();
        }
        got = got == null && peer.ended() ? "closed" : got == null ? "nothing" : got;
        if (!matches(what, got)) {
            throw new AssertionError("but got: " + got);
        }
    }

    /** Checks that all expected words are among the received words, those with ! are not, and the bodies are equal. */
    private static boolean matches(String expected, String got) {
        String[] wanted = expected.split(" \\| ?", 2);
        String[] actual = got.split(" \\| ", 2);
        List<String> fields = List.of(actual[0].split("[ ,?&]"));
        return Arrays.stream(wanted[0].split(" ")).allMatch(word -> word.startsWith("!")
                ? fields.stream().noneMatch(field -> field.startsWith(word.substring(1) + "=")) : fields.contains(word))
                && (wanted.length < 2 || actual.length > 1 && body(wanted).equals(actual[1]));
    }

    /** Returns the next request to a listening peer, preferably on a connection on which it matches the expectation. */
    private static String nextRequest(Peer peer, String expected) {
        String first = null;
        for (Link link : peer.links.stream().filter(each -> !each.ended || each == peer.link).toList()) {
            byte[] before = link.read;
            String next = before.length > 0 && before[0] == 'G' ? httpRequest(link) : upstreamRequest(link);
            if (next != null && matches(expected, next)) {
                peer.link = link;
                peer.requestLinks.put(next.split(" ")[1], link);
                return next;
            }
            link.read = before;
            first = first == null ? next : first;
        }
        return first;
    }

    /** Returns the request line of the next HTTP request and skips its headers. */
    private static String httpRequest(Link link) {
        int end = new String(link.read, StandardCharsets.US_ASCII).indexOf("\r\n\r\n");
        return end < 0 ? null : new String(link.consume(end + 4), StandardCharsets.US_ASCII).split("\r\n")[0];
    }

    private static String upstreamRequest(Link link) {
        String text = new String(link.read, StandardCharsets.ISO_8859_1);
        int end = text.indexOf("\r\n");
        if (end < 0) {
            return null;
        }
        String[] words = text.substring(0, end).split(" ");
        int length = words.length < 4 ? -2 : Integer.parseInt(words[3]);
        if (link.read.length < end + 4 + length) {
            return null;
        }
        String consumed = new String(link.consume(end + 4 + length), StandardCharsets.ISO_8859_1);
        return consumed.substring(0, end) + (length > 0 ? " | " + consumed.substring(end + 2, end + 2 + length) : "");
    }

    /** Returns an HTTP response: its status, and its body after a bar. */
    private static String httpResponse(Link link) {
        String text = new String(link.read, StandardCharsets.US_ASCII);
        int end = text.indexOf("\r\n\r\n");
        if (end < 0 || !link.ended && !text.contains(" 100 ")) {
            return null;
        }
        String response = new String(link.consume(text.contains(" 100 ") ? end + 4 : link.read.length),
                StandardCharsets.US_ASCII);
        return response.split(" ")[1] + " | " + response.substring(end + 4).strip();
    }

    private static String clientFrame(Link link) {
        ByteBuffer bytes = ByteBuffer.wrap(link.read).order(ByteOrder.LITTLE_ENDIAN);
        if (bytes.remaining() < 4 || bytes.remaining() < 4 + bytes.getInt(0)) {
            return null;
        }
        ByteBuffer frame =
                ByteBuffer.wrap(link.consume(4 + bytes.getInt(0))).order(ByteOrder.LITTLE_ENDIAN).position(4);
        int type = frame.get();
        long stream = frame.getInt();
        if (type == 9) {
            return "leaving " + stream;
        }
        char code = (char) frame.get();
        Map<String, String> fields = new TreeMap<>();
        for (int i = frame.get(); i > 0; i--) {
            String name = text(frame, frame.get());
            fields.put(name, text(frame, frame.getShort()));
        }
        String word = type == 7 ? code == 'O' ? "ready" : "unready"
                : RESPONSE_TYPES.stream().filter(c -> c.charAt(0) == code).findFirst().orElseThrow().substring(2);
        List<String> words = new ArrayList<>(List.of(word, "" + stream));
        fields.forEach((name, value) -> words.add(name + "=" + value));
        return String.join(" ", words) + " | " + text(frame, frame.remaining());
    }

    private static String text(ByteBuffer buffer, int length) {
        byte[] bytes = new byte[length];
        buffer.get(bytes);
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private void close(String who, String how) throws IOException {
        Peer peer = peer(who);
        switch (how) {
            case "half" -> peer.link.channel.shutdownOutput();
            case "listener" -> peer.listener.close();
            case "deaf" -> {
                peer.deaf = true;
                if (peer.listener == null) {
                    return;
                }
                // With a full backlog the kernel drops further connection attempts, like a vanished machine.
                for (int i = 0; i < 4; i++) {
                    SocketChannel filler = SocketChannel.open();
                    fillers.add(filler);
                    filler.configureBlocking(false);
                    filler.connect(peer.listener.getLocalAddress());
                }
            }
            case "reset" -> {
                peer.link.channel.setOption(StandardSocketOptions.SO_LINGER, 0);
                peer.link.channel.close();
            }
            default -> peer.link.channel.close();
        }
        turn(1);
    }

    @Override
    public void close() throws IOException {
        director.close();
        if (passedSocket != null) {
            passedSocket.close();
        }
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path each : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(each);
            }
        }
        for (SocketChannel filler : fillers) {
            filler.close();
        }
        for (Peer peer : peers.values()) {
            if (peer.listener != null) {
                peer.listener.close();
            }
            for (Link link : peer.links) {
                link.channel.close();
            }
        }
    }
}
