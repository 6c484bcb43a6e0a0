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
 * Plays a scenario against a complete director on loopback sockets and a clock that only {@code wait} moves.
 *
 * <pre>
 * send c1 request 1 class=page ... | body     a frame from the client connection c1, which is opened if need be;
 *                                             also give-up N, ready N, hex BYTES
 * send s-1 ID DONE etag=t | bytes             an answer of a member on its newest connection; raw TEXT as it is
 * send channel {...}                          an answer of the command channel; raw TEXT as it is
 * send director TERM                          also HUP channel=ADDRESS, HUP TEXT, HUP alone (an empty
 *                                             file), HUP edit OLD -> NEW ;; OLD -> NEW:
 *                                             a new configuration; FILE with
 *                                             the same: without a signal; FILE - removes it; DEAF: no SIGHUP comes
 * send op PUT /path BODY                      an operator's call at admin; names start with op, and those that end
 *                                             in -previous call the earlier process
 * expect op 200 | text                        its answer
 * send director BESIDE TEXT                   another process of it is there, with that in its file; ALONE: no more
 * start director MS                           one more process beside the present one, which serves after so long;
 *                                             "director" is the earlier one from then on, until it has stopped
 * expect c1 served 1 etag=t | bytes           also refused, failed, leaving, ready, unready; nothing; closed,
 *                                             whatever came before
 * expect s-1 want ID name=value !name         also never_mind ID, closed, nothing
 * expect channel resume=1                     at whatever party is polled; expect director stopped
 * expect director marked ready                in the folder that the processes share; starts: it accepts no connections
 * close c1                                    in both directions; with half: only sending; with reset: by a reset
 * close s-1 listener                          accepts no connections, they are refused; with deaf: they never come up
 * close c1 deaf                               reads nothing from now on, until: open c1
 * wait 400                                    milliseconds
 * step -3600000                               the wall clock by so many milliseconds; ${now} stays the true time
 * times 3 STEP                                the step with # standing for 10, 11 and 12
 * together STEP ;; STEP                       sends and closes that the director finds in one turn, in that order
 * </pre>
 */
final class Scenario implements AutoCloseable {

    private static final List<String> CODES = List.of("O served", "B refused", "E failed");
    private static final int TURNS = 400;

    private final ManualClock clock = new ManualClock(1_700_000_000_000_000L);
    private final Map<String, Party> parties = new LinkedHashMap<>();
    private final List<SocketChannel> fillers = new ArrayList<>();
    private final Path folder;
    private final ServerSocketChannel passed;
    private Assembly director;
    private Assembly previous;
    private boolean held;

    /** One connection of a party, and what has arrived on it. */
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

        byte[] take(int count) {
            byte[] taken = Arrays.copyOf(read, count);
            read = Arrays.copyOfRange(read, count, read.length);
            return taken;
        }
    }

    /** A client with its one connection, or a party that listens, and the link that was spoken on last. */
    private static final class Party {
        boolean operator;
        ServerSocketChannel listener;
        String address;
        boolean deaf;
        Link link;
        final List<Link> links = new ArrayList<>();
        final Map<String, Link> asked = new HashMap<>();

        /** Reads what has arrived; a newer connection stands in for one that has ended. */
        void poll() throws IOException {
            if (listener == null && deaf) {
                return; // a client that reads nothing any more
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

    /** With a ledger, unless that is null; {@code upgrades} on a platform that holds the clients' listening socket. */
    Scenario(long settleUs, LedgerSettings ledger, boolean upgrades) throws Exception {
        for (String name : List.of("s-1", "s-2", "p-1", "o-1", "channel")) {
            Party party = new Party();
            party.listener = ServerSocketChannel.open();
            party.listener.configureBlocking(false);
            party.listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
            party.address = "127.0.0.1:" + party.listener.socket().getLocalPort();
            parties.put(name, party);
        }
        folder = Files.createTempDirectory("scenario");
        Files.writeString(file(), configuration());
        passed = upgrades ? ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                : null;
        director = started(settleUs, ledger);
    }

    private Assembly started(long settleUs, LedgerSettings ledger) throws Exception {
        Config config = Config.read(configuration(), null);
        Platform platform = new Platform(Optional.ofNullable(passed), Optional.ofNullable(config.admin()),
                passed == null ? Optional.empty() : Optional.of(folder.resolve("shared")));
        SubsystemSettings subsystems = new SubsystemSettings(Optional.ofNullable(ledger), Optional.empty(),
                Optional.empty());
        Assembly assembly = new Assembly(config, file(), clock, settleUs, subsystems, platform,
                new StartupRetry(clock));
        assembly.open();
        return assembly;
    }

    private String configuration() throws IOException {
        return filled(Files.readString(Path.of("src/test/resources/director.json")));
    }

    private Path file() {
        return folder.resolve("config.json");
    }

    private void signal(String what) throws IOException {
        String[] parts = what.split(" ", 2);
        switch (parts[0]) {
            case "TERM" -> (previous != null ? previous : director).shutDown();
            case "BESIDE" -> Files.writeString(folder.resolve("shared").resolve("here-1"), parts[1]);
            case "ALONE" -> Files.delete(folder.resolve("shared").resolve("here-1"));
            case "DEAF" -> director.reloader().pollAlways();
            default -> {
                String text = parts.length > 1 ? parts[1] : "";
                if (text.equals("-")) {
                    Files.delete(file());
                } else {
                    Files.writeString(file(), text.startsWith("channel=") ? configuration().replaceAll(
                            "\"channel\":\"[^\"]*\"", "\"channel\":\"" + text.substring(8) + "\"")
                            : text.startsWith("edit ") ? edited(text.substring(5)) : text);
                }
                if (parts[0].equals("HUP")) {
                    director.reloader().reload();
                }
            }
        }
    }

    /** The configuration with some texts replaced: {@code OLD -> NEW ;; OLD -> NEW}. */
    private String edited(String edits) throws IOException {
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

    /** Puts in addresses, and the present time for {@code ${now}}. */
    private String filled(String text) {
        String result = text.replace("${now}", Long.toString(clock.trueMs()));
        for (Map.Entry<String, Party> party : parties.entrySet()) {
            if (party.getValue().listener != null) {
                result = result.replace("${" + party.getKey() + "}", party.getValue().address);
            }
        }
        return result;
    }

    /** Plays all lines; a failure names the line. */
    void play(List<String> lines) throws Exception {
        for (int i = 0; i < lines.size(); i++) {
            String line = filled(lines.get(i).strip());
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
                held = true;
                for (String each : rest.split(" ;; ")) {
                    step(each.split(" ", 2)[0], each.split(" ", 2)[1]);
                }
                held = false;
                turn(1);
            }
            case "wait" -> {
                for (long i = Long.parseLong(rest); i > 0; i -= 10) {
                    clock.passMs(Math.min(10, i));
                    turn(0);
                }
            }
            case "step" -> clock.stepMs(Long.parseLong(rest));
            case "send" -> send(parts[0], parts[1]);
            case "expect" -> expect(parts[0], parts[1]);
            case "start" -> {
                previous = director;
                director = started(Long.parseLong(rest.split(" ")[1]) * 1000, null);
            }
            case "open" -> party(rest).deaf = false;
            case "close" -> close(parts[0], parts.length > 1 ? parts[1] : "");
            default -> throw new IllegalArgumentException("unknown verb");
        }
    }

    private void turn(long mostMs) throws IOException {
        if (held) {
            return;
        }
        if (previous != null) {
            previous.loop().turn(0);
        }
        director.loop().turn(mostMs);
        for (Party party : parties.values()) {
            party.poll();
        }
    }

    private Party party(String name) throws IOException {
        Party party = parties.get(name);
        if (party == null) {
            party = new Party();
            SocketChannel channel = SocketChannel.open();
            channel.setOption(StandardSocketOptions.SO_RCVBUF, 1 << 16);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true); // else a second request may come 40 ms later
            party.operator = name.startsWith("op");
            channel.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), party.operator
                    ? (name.endsWith("-previous") ? previous : director).adminPort()
                    : passed != null ? passed.socket().getLocalPort() : director.port()));
            party.links.add(new Link(channel));
            parties.put(name, party);
        }
        party.poll();
        return party;
    }

    private void send(String who, String what) throws IOException {
        if (who.equals("director")) {
            signal(what);
            return;
        }
        Party party = party(who);
        ByteBuffer bytes = ByteBuffer.wrap(what.startsWith("raw ") ? unescaped(what.substring(4))
                : party.operator ? call(what)
                : who.equals("channel") ? response(what) : party.listener != null ? answer(what) : frame(what));
        party.link = party.asked.getOrDefault(what.split(" ")[0], party.link);
        for (int i = 0; i < TURNS && bytes.hasRemaining(); i++) {
            party.link.channel.write(bytes);
            turn(0);
        }
        turn(1);
    }

    private static byte[] unescaped(String text) {
        return text.replace("\\r", "\r").replace("\\n", "\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] call(String what) {
        String[] words = what.split(" ", 3);
        String body = words.length < 3 ? "" : words[2];
        return (words[0] + " " + words[1] + " HTTP/1.1\r\nHost: here\r\n" + (body.isEmpty() ? ""
                : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body).getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] response(String body) {
        return ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** The text behind the bar; so many times x for *N. */
    private static String body(String[] parts) {
        String text = parts.length > 1 ? parts[1].stripTrailing() : "";
        return text.startsWith("*") ? "x".repeat(Integer.parseInt(text.substring(1))) : text;
    }

    private static byte[] answer(String what) {
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
        if (who.equals("director")) {
            (previous != null ? previous : director).loop().run();
            previous = null;
            return;
        }
        Party party = party(who);
        String got = null;
        boolean silence = what.equals("nothing");
        boolean closing = what.equals("closed");
        for (int i = 0; i < (silence ? 20 : TURNS) && (got == null || !silence && !matches(what, got)); i++) {
            got = closing ? null : party.operator ? httpResponse(party.link)
                    : party.listener == null ? clientFrame(party.link)
                    : asked(party, what);
            if (got == null && party.ended() && (party.listener == null || closing)
                    || got != null && party.listener == null) {
                break;
            }
            turn(silence ? 0 : 1);
            party.poll();
        }
        got = got == null && party.ended() ? "closed" : got == null ? "nothing" : got;
        if (!matches(what, got)) {
            throw new AssertionError("but got: " + got);
        }
    }

    /** The words expected must stand at the start or among the fields, those with ! must not; the bodies agree. */
    private static boolean matches(String expected, String got) {
        String[] want = expected.split(" \\| ?", 2);
        String[] have = got.split(" \\| ", 2);
        List<String> there = List.of(have[0].split("[ ,?&]"));
        return Arrays.stream(want[0].split(" ")).allMatch(word -> word.startsWith("!")
                ? there.stream().noneMatch(field -> field.startsWith(word.substring(1) + "=")) : there.contains(word))
                && (want.length < 2 || have.length > 1 && body(want).equals(have[1]));
    }

    /** What a listening party is asked next, on the connection on which it is what was expected, if there is one. */
    private static String asked(Party party, String expected) {
        String first = null;
        for (Link link : party.links.stream().filter(each -> !each.ended || each == party.link).toList()) {
            byte[] before = link.read;
            String next = before.length > 0 && before[0] == 'G' ? poll(link) : want(link);
            if (next != null && matches(expected, next)) {
                party.link = link;
                party.asked.put(next.split(" ")[1], link);
                return next;
            }
            link.read = before;
            first = first == null ? next : first;
        }
        return first;
    }

    /** The next request of HTTP, whose headers are passed over. */
    private static String poll(Link link) {
        int end = new String(link.read, StandardCharsets.US_ASCII).indexOf("\r\n\r\n");
        return end < 0 ? null : new String(link.take(end + 4), StandardCharsets.US_ASCII).split("\r\n")[0];
    }

    private static String want(Link link) {
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
        String taken = new String(link.take(end + 4 + length), StandardCharsets.ISO_8859_1);
        return taken.substring(0, end) + (length > 0 ? " | " + taken.substring(end + 2, end + 2 + length) : "");
    }

    /** An answer of HTTP: its status, and its body behind a bar. */
    private static String httpResponse(Link link) {
        String text = new String(link.read, StandardCharsets.US_ASCII);
        int end = text.indexOf("\r\n\r\n");
        if (end < 0 || !link.ended && !text.contains(" 100 ")) {
            return null;
        }
        String answer = new String(link.take(text.contains(" 100 ") ? end + 4 : link.read.length),
                StandardCharsets.US_ASCII);
        return answer.split(" ")[1] + " | " + answer.substring(end + 4).strip();
    }

    private static String clientFrame(Link link) {
        ByteBuffer bytes = ByteBuffer.wrap(link.read).order(ByteOrder.LITTLE_ENDIAN);
        if (bytes.remaining() < 4 || bytes.remaining() < 4 + bytes.getInt(0)) {
            return null;
        }
        ByteBuffer frame = ByteBuffer.wrap(link.take(4 + bytes.getInt(0))).order(ByteOrder.LITTLE_ENDIAN).position(4);
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
                : CODES.stream().filter(c -> c.charAt(0) == code).findFirst().orElseThrow().substring(2);
        List<String> said = new ArrayList<>(List.of(word, "" + stream));
        fields.forEach((name, value) -> said.add(name + "=" + value));
        return String.join(" ", said) + " | " + text(frame, frame.remaining());
    }

    private static String text(ByteBuffer buffer, int length) {
        byte[] bytes = new byte[length];
        buffer.get(bytes);
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private void close(String who, String how) throws IOException {
        Party party = party(who);
        switch (how) {
            case "half" -> party.link.channel.shutdownOutput();
            case "listener" -> party.listener.close();
            case "deaf" -> {
                party.deaf = true;
                if (party.listener == null) {
                    return;
                }
                // A full backlog: the kernel drops what else would connect, as if nobody were there.
                for (int i = 0; i < 4; i++) {
                    SocketChannel filler = SocketChannel.open();
                    fillers.add(filler);
                    filler.configureBlocking(false);
                    filler.connect(party.listener.getLocalAddress());
                }
            }
            case "reset" -> {
                party.link.channel.setOption(StandardSocketOptions.SO_LINGER, 0);
                party.link.channel.close();
            }
            default -> party.link.channel.close();
        }
        turn(1);
    }

    @Override
    public void close() throws IOException {
        director.close();
        if (passed != null) {
            passed.close();
        }
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path each : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(each);
            }
        }
        for (SocketChannel filler : fillers) {
            filler.close();
        }
        for (Party party : parties.values()) {
            if (party.listener != null) {
                party.listener.close();
            }
            for (Link link : party.links) {
                link.channel.close();
            }
        }
    }
}
