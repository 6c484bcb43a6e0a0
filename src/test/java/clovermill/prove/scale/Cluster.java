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
 * All processes of one run at one size: real directors, some with clients; twins of them without the control plane;
 * hollow processes; and in this process the stand-ins and the links. Directors are numbered from 0, real ones first;
 * the first three are voters.
 */
final class Cluster implements AutoCloseable {

    /**
     * The composition of a cluster.
     *
     * @param size total number of directors
     * @param real number of directors that are {@code serve} processes
     * @param loaded number of real directors with clients, which follow the voters
     * @param twins number of directors without control plane that have clients, and of those that have none
     * @param perProcess maximum number of hollow directors in a process
     * @param loss share of datagrams that are dropped
     * @param delayShare factor on the link delays between locations
     */
    record Shape(int size, int real, int loaded, int twins, int perProcess, double loss, double delayShare) {}

    /** The time and number of an event in a real director's log. */
    record LoggedEvent(long atMs, int event) {}

    static final int VOTERS = 3;
    private static final int LINK_THREADS = 3;
    private static final int CACHES = 5;
    private static final int CACHE_CAPACITY = 40;
    private static final int REQUESTS_PER_SECOND = 60;
    private static final int REQUEST_KB = 4;
    private static final double FLEET_LIMIT_EACH = 574;
    private static final String KEY = "00112233445566778899aabbccddeeff";
    private static final Pattern EVENT = Pattern.compile("^(\\S+) .* disabled cache " + HollowProcess.EVENT_PREFIX
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
    private final List<HollowProcessHandle> hollow = new ArrayList<>();
    private final Map.Entry<String, String> channel;
    private final LinkEmulator links;
    private final DiscoveryEndpoint discovery;

    /** Starts all processes and returns once they serve requests. */
    Cluster(Shape shape, long seed) throws Exception {
        this.shape = shape;
        Runtime.getRuntime().addShutdownHook(
                new Thread(() -> processes.forEach(each -> each.process.destroyForcibly()), "end-processes"));
        try {
            topology = new Topology(shape.size(), freeDatagramPort(), freeDatagramPort());
            rules = new LinkRules(shape.loss(), shape.delayShare());
            links = registered(new LinkEmulator(topology, rules, LINK_THREADS));
            discovery = registered(new DiscoveryEndpoint());
            CacheFleet caches = registered(new CacheFleet(CACHES, CACHE_CAPACITY, DirectorProcess.TRANSFER_US / 4,
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

    private <T extends AutoCloseable> T registered(T part) {
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
        Path minimalSettings = root.resolve("bare.json");
        json.writeValue(minimalSettings.toFile(), Map.of("log", Map.of("format", "text")));
        for (int i = 0; i < members; i++) {
            DirectorProcess started = DirectorProcess.start(root, channel, i, members,
                    i < shape.real() ? settings(i) : minimalSettings);
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
            // Evenly spread: in a process with few directors, JIT compilation would add much per director.
            int count = (shape.size() - first) / (processCount - process);
            for (int i = first; i < first + count; i++) {
                settings(i);
            }
            hollow.add(registered(new HollowProcessHandle(new HollowProcess.Plan(first, count,
                    root.resolve("settings-%d.json").toString(), configuration.toString(),
                    root.resolve("hollow-" + first + ".log").toString(), seed + first),
                    root.resolve("hollow-" + first + ".err").toFile())));
            first += count;
        }
        for (HollowProcessHandle each : hollow) {
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
        parts.add(new LoadGenerator(director.port, REQUESTS_PER_SECOND, seed, REQUEST_KB, 1)::close);
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

    List<HollowProcessHandle> hollow() {
        return hollow;
    }

    /** Returns the real directors that are no voters and have no clients. */
    List<DirectorProcess> realIdle() {
        return real.subList(Math.min(real.size(), VOTERS + shape.loaded()), real.size());
    }

    /** Returns the real directors that have clients. */
    List<DirectorProcess> realLoaded() {
        return real.subList(Math.min(real.size(), VOTERS), Math.min(real.size(), VOTERS + shape.loaded()));
    }

    int hollowCount() {
        return shape.size() - shape.real();
    }

    /** Returns the hollow process that runs a director. */
    HollowProcessHandle processOf(int director) {
        return hollow.stream().filter(each -> each.contains(director)).findFirst().orElseThrow();
    }

    /** Returns the events in the log of a real director, in log order. */
    List<LoggedEvent> loggedEvents(int director) throws IOException {
        List<LoggedEvent> all = new ArrayList<>();
        try (Stream<String> lines = Files.lines(DirectorProcess.log(root, director))) {
            lines.map(EVENT::matcher).filter(Matcher::find).forEach(line -> all.add(new LoggedEvent(
                    OffsetDateTime.parse(line.group(1)).toInstant().toEpochMilli(), Integer.parseInt(line.group(2)))));
        }
        return all;
    }

    /** Returns the policy version in force at a real director, or -1 if none or while a change is in progress. */
    long policyVersion(DirectorProcess director) throws IOException {
        String answer = director.callAdmin("GET /policy HTTP/1.1\r\n\r\n");
        if (!answer.startsWith("HTTP/1.1 200")) {
            return -1;
        }
        Map<?, ?> shown = json.readValue(answer.substring(answer.indexOf("\r\n\r\n") + 4), HashMap.class);
        return shown.containsKey("next") ? -1 : ((Number) shown.get("version")).longValue();
    }

    /** Terminates all processes started here and deletes their files. */
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
