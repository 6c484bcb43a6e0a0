package clovermill.prove.scale;

import clovermill.prove.CacheFleet;
import clovermill.prove.DirectorProcess;
import clovermill.prove.LoadGenerator;
import clovermill.prove.scale.Topology.Part;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.OffsetDateTime;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * All processes of one run at one size: real directors, of which some have clients, twins of them without control
 * parts, hollow processes, and in this process the stand-ins and the links. Directors are numbered from 0, real ones
 * first; the first three vote.
 */
final class Cluster implements AutoCloseable {

    /**
     * What a run consists of.
     *
     * @param size directors in all
     * @param real how many are {@code serve} processes
     * @param loaded how many of those have clients, the ones behind the voters
     * @param twins directors without control parts with clients, and as many without
     * @param perProcess hollow directors of a process at the most
     * @param loss share of datagrams that are lost
     * @param delayShare what part of the delays between places links have
     */
    record Shape(int size, int real, int loaded, int twins, int perProcess, double loss, double delayShare) {}

    /** A real director's log line on an event: when and which. */
    record Logged(long atMs, int event) {}

    static final int VOTERS = 3;
    private static final int LINK_THREADS = 3;
    private static final int CACHES = 5;
    private static final int CACHE_ROOM = 40;
    private static final int REQUESTS_A_SECOND = 60;
    private static final int REQUEST_KB = 4;
    private static final double FLEET_LIMIT_EACH = 574;
    private static final String KEY = "00112233445566778899aabbccddeeff";
    private static final Pattern EVENT = Pattern.compile("^(\\S+) .* disabled cache " + HollowProcess.EVENT
            + "(\\d+)$");

    private final Path root = Files.createTempDirectory("prove-scale");
    private final ObjectMapper json = new ObjectMapper();
    private final Shape shape;
    private final Topology topology;
    private final LinkRules rules;
    private final List<AutoCloseable> parts = new ArrayList<>();
    private final List<DirectorProcess> processes = new ArrayList<>();
    private final List<DirectorProcess> real = new ArrayList<>();
    private final List<DirectorProcess> twinsIdle = new ArrayList<>();
    private final List<DirectorProcess> twinsLoaded = new ArrayList<>();
    private final List<HollowHandle> hollow = new ArrayList<>();
    private final Map.Entry<String, String> channel;
    private final LinkEmulator links;
    private final DiscoveryEndpoint discovery;

    /** Starts everything; returns once all processes serve. */
    Cluster(Shape shape, long seed) throws Exception {
        this.shape = shape;
        Runtime.getRuntime().addShutdownHook(
                new Thread(() -> processes.forEach(each -> each.process.destroyForcibly()), "end-processes"));
        try {
            topology = new Topology(shape.size(), freeDatagramPort(), freeDatagramPort());
            rules = new LinkRules(shape.loss(), shape.delayShare());
            links = kept(new LinkEmulator(topology, rules, LINK_THREADS));
            discovery = kept(new DiscoveryEndpoint());
            CacheFleet caches = kept(new CacheFleet(CACHES, CACHE_ROOM, DirectorProcess.TRANSFER_US / 4,
                    DirectorProcess.SLOW_START));
            channel = Map.entry(discovery.address(), caches.channel().getValue());
            Files.writeString(root.resolve("key"), KEY);
            startReal();
            startHollow(seed);
            startLoad(seed);
        } catch (Exception | Error failure) {
            close();
            throw failure;
        }
    }

    private <T extends AutoCloseable> T kept(T part) {
        parts.add(part);
        return part;
    }

    private static int freeDatagramPort() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private void startReal() throws Exception {
        int members = shape.real() + 2 * shape.twins();
        Path bare = root.resolve("bare.json");
        json.writeValue(bare.toFile(), Map.of("log", Map.of("format", "text")));
        for (int i = 0; i < members; i++) {
            DirectorProcess started = DirectorProcess.start(root, channel, i, members,
                    i < shape.real() ? settings(i) : bare);
            processes.add(started);
            (i < shape.real() ? real : i < shape.real() + shape.twins() ? twinsIdle : twinsLoaded).add(started);
        }
        for (DirectorProcess each : processes) {
            each.awaitReady();
        }
    }

    private void startHollow(long seed) throws Exception {
        Path configuration = DirectorProcess.configuration(root, channel, shape.real(), shape.size());
        int processCount = (hollowCount() + shape.perProcess() - 1) / shape.perProcess();
        int first = shape.real();
        for (int process = 0; process < processCount; process++) {
            // As many in each: in a process with few the compiler's work would count for much.
            int count = (shape.size() - first) / (processCount - process);
            for (int i = first; i < first + count; i++) {
                settings(i);
            }
            hollow.add(kept(new HollowHandle(new HollowProcess.Plan(first, count,
                    root.resolve("settings-%d.json").toString(), configuration.toString(),
                    root.resolve("hollow-" + first + ".log").toString(), seed + first),
                    root.resolve("hollow-" + first + ".err").toFile())));
            first += count;
        }
        for (HollowHandle each : hollow) {
            each.open();
        }
    }

    private void startLoad(long seed) throws IOException {
        for (int i = VOTERS; i < VOTERS + shape.loaded(); i++) {
            load(real.get(i), seed + i);
        }
        for (DirectorProcess each : twinsLoaded) {
            load(each, seed + each.port);
        }
    }

    private void load(DirectorProcess director, long seed) throws IOException {
        parts.add(new LoadGenerator(director.port, REQUESTS_A_SECOND, seed, REQUEST_KB, 1)::close);
    }

    private Path settings(int self) throws IOException {
        Path file = root.resolve("settings-" + self + ".json");
        json.writeValue(file.toFile(), Map.of(
                "log", Map.of("format", "text"),
                "fleet", Map.of("directors", topology.addresses(self, Part.FLEET), "self", self,
                        "key_file", root.resolve("key").toString(),
                        "limits", List.of(Map.of("name", "all", "per_second", FLEET_LIMIT_EACH * shape.size()))),
                "accord", Map.of("directors", topology.addresses(self, Part.ACCORD), "self", self,
                        "voters", IntStream.range(0, VOTERS).boxed().toList(),
                        "key_file", root.resolve("key").toString(),
                        "folder", root.resolve("votes-" + self).toString())));
        return file;
    }

    Shape shape() {
        return shape;
    }

    LinkRules rules() {
        return rules;
    }

    LinkEmulator links() {
        return links;
    }

    DiscoveryEndpoint discovery() {
        return discovery;
    }

    List<DirectorProcess> real() {
        return real;
    }

    List<DirectorProcess> twinsIdle() {
        return twinsIdle;
    }

    List<DirectorProcess> twinsLoaded() {
        return twinsLoaded;
    }

    List<HollowHandle> hollow() {
        return hollow;
    }

    /** Real directors that neither vote nor have clients. */
    List<DirectorProcess> realIdle() {
        return real.subList(Math.min(real.size(), VOTERS + shape.loaded()), real.size());
    }

    /** Real directors that have clients. */
    List<DirectorProcess> realLoaded() {
        return real.subList(Math.min(real.size(), VOTERS), Math.min(real.size(), VOTERS + shape.loaded()));
    }

    int hollowCount() {
        return shape.size() - shape.real();
    }

    /** The hollow process in which a director is. */
    HollowHandle at(int director) {
        return hollow.stream().filter(each -> each.holds(director)).findFirst().orElseThrow();
    }

    /** What a real director has logged of events, in its order. */
    List<Logged> logged(int director) throws IOException {
        List<Logged> all = new ArrayList<>();
        try (Stream<String> lines = Files.lines(DirectorProcess.log(root, director))) {
            lines.map(EVENT::matcher).filter(Matcher::find).forEach(line -> all.add(new Logged(
                    OffsetDateTime.parse(line.group(1)).toInstant().toEpochMilli(), Integer.parseInt(line.group(2)))));
        }
        return all;
    }

    /** The version of the policy in force at a real director, or -1 while there is none or a change is under way. */
    long version(DirectorProcess director) throws IOException {
        String answer = director.callAdmin("GET /policy HTTP/1.1\r\n\r\n");
        if (!answer.startsWith("HTTP/1.1 200")) {
            return -1;
        }
        Map<?, ?> shown = json.readValue(answer.substring(answer.indexOf("\r\n\r\n") + 4), HashMap.class);
        return shown.containsKey("next") ? -1 : ((Number) shown.get("version")).longValue();
    }

    /** Ends all processes that were started here, by their ids, and removes their files. */
    @Override
    public void close() throws IOException {
        for (int i = parts.size() - 1; i >= 0; i--) {
            try {
                parts.get(i).close();
            } catch (Exception failure) {
                System.err.println("closing failed: " + failure);
            }
        }
        for (DirectorProcess each : processes) {
            each.process.destroyForcibly().onExit().join();
        }
        try (Stream<Path> files = Files.walk(root)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }
}
