package clovermill.prove;

import clovermill.CacheRouter.ColdRule;
import clovermill.emulator.Emulation;
import clovermill.emulator.Plan;
import clovermill.emulator.Plan.Fault;
import clovermill.emulator.Tally;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * The long proof of even load ({@code make prove-spread}): the emulator at 10, 100 and 1,000 directors through every
 * hard case, each twice, beside the module without reports; then real processes with faults put between them.
 */
public final class SpreadProof {

    private static final String JAVA = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    private static final long READY_MS = 20_000;
    /** Time of sending one part, in the stand-in caches and by the configuration: 400 KB at 5,000 a second. */
    private static final double WORK_US = 80_000;
    private static final int KB = 400;
    private static final ColdRule COLD = new ColdRule(0.25, 6_000_000, 3, 3_000_000);

    private final Map<String, Object> figures = new LinkedHashMap<>();
    private final List<String> broken = new ArrayList<>();

    private final Path root = Files.createTempDirectory("prove-spread");

    private SpreadProof() throws IOException { }

    /** Property: seed. */
    public static void main(String[] args) throws Exception {
        SpreadProof proof = new SpreadProof();
        proof.emulate(List.of(10, 100, 1000), 60, Long.getLong("seed", 7));
        proof.processes(4, 40, 4_000);
        System.out.println(proof.line());
        System.exit(proof.broken.isEmpty() ? 0 : 1);
    }

    /** Processes alone, for the tests; the line of figures. */
    static String processesShortly() throws Exception {
        SpreadProof proof = new SpreadProof();
        proof.processes(3, 50, 1_500);
        return proof.line();
    }

    private String line() {
        StringBuilder line = new StringBuilder("prove-spread:");
        figures.forEach((name, value) -> line.append(' ').append(name).append('=').append(value));
        return line.append(" broken=").append(broken).append(" holds=").append(broken.isEmpty()).toString();
    }

    private void hold(String what, boolean holds) {
        if (!holds) {
            broken.add(what);
        }
    }

    // ---- Emulator ---------------------------------------------------------------------------------

    /** The hard cases by name, for so many directors. */
    static Map<String, Plan> cases(int directors, int seconds) {
        Plan plain = new Plan(directors, 20, Math.max(1, 1000.0 / directors), 0.75, 1, seconds, seconds / 4, 4000, 0.9,
                600, 150, 0.5, "module", new Plan.Reports(500, 150, 0.1, 0.05), List.of());
        double at = seconds / 2.0;
        Map<String, Plan> cases = new LinkedHashMap<>();
        cases.put("plain", plain);
        cases.put("freeze", plain.with(new Fault("freeze", at, 5, 0, 0)));
        cases.put("join", plain.with(new Fault("join", at, 0, 0, 0)));
        cases.put("slow", plain.with(new Fault("slow", at, seconds / 4.0, 3, 0.3)));
        cases.put("mute", plain.with(new Fault("mute", at, seconds / 4.0, 3, 0)));
        cases.put("skew", plain.skewed(10));
        cases.put("kill", plain.with(new Fault("kill", at, 2, 0, 0)).with(new Fault("leave", at + 1, 0, 5, 0)));
        return cases;
    }

    private void emulate(List<Integer> sizes, int seconds, long seed) throws Plan.Unusable {
        int overruns = 0;
        int idle = 0;
        boolean same = true;
        for (int directors : sizes) {
            for (Map.Entry<String, Plan> each : cases(directors, seconds).entrySet()) {
                Tally module = Emulation.play(each.getValue(), seed);
                Tally guess = Emulation.play(each.getValue().choosing("guess"), seed);
                same &= module.figures().equals(Emulation.play(each.getValue(), seed).figures());
                overruns += module.overruns();
                idle += module.idleSeconds();
                String name = each.getKey() + "_" + directors;
                System.out.println(name + " module " + module.figures());
                System.out.println(name + " guess  " + guess.figures());
                hold(name + " serves less than without reports", module.inTimeShare() >= guess.inTimeShare() - 0.005);
                hold(name + " is less even than without reports",
                        module.maxOverMean() <= 1.1 * guess.maxOverMean());
                if (each.getKey().equals("plain")) {
                    figures.put("max_over_mean_" + directors, Math.round(100 * module.maxOverMean()) / 100.0);
                    figures.put("guess_" + directors, Math.round(100 * guess.maxOverMean()) / 100.0);
                    figures.put("in_time_" + directors, Math.round(1000 * module.inTimeShare()) / 1000.0);
                }
            }
        }
        figures.put("directors", sizes.toString().replaceAll("[^0-9,]", ""));
        figures.put("idle_s", idle);
        figures.put("overruns", overruns);
        figures.put("same", same);
        hold("idle caches", idle == 0);
        hold("cold caches pushed over", overruns == 0);
        hold("one seed, one run", same);
    }

    // ---- Processes --------------------------------------------------------------------------------

    /** A director process, its clients' port and the load on it. */
    private static final class Running {
        Process process;
        int port;
        int admin;
        Load load;
    }

    private void processes(int directors, int perSecond, long phaseMs) throws Exception {
        List<Running> all = new ArrayList<>();
        List<Load> ended = new ArrayList<>();
        try (CacheFleet fleet = new CacheFleet(5, 6, WORK_US, COLD)) {
            for (int i = 0; i < directors; i++) {
                all.add(start(fleet, i, directors));
            }
            for (Running each : all) {
                ready(each);
                // The first carries three times the others' load; no two ask under the same ids.
                int number = all.indexOf(each);
                each.load = new Load(each.port, number == 0 ? 3 * perSecond : perSecond, 7 + number, KB, 3);
            }
            Thread.sleep(2 * phaseMs);
            fleet.freeze(true);
            Thread.sleep(phaseMs);
            fleet.freeze(false);
            fleet.slow("s-2", 0.4);
            Thread.sleep(phaseMs);
            fleet.slow("s-2", 1);
            fleet.mute(true);
            fleet.join("s-9", 6);
            Running killed = all.get(directors - 1);
            killed.process.destroyForcibly().waitFor();
            killed.load.close();
            ended.add(killed.load);
            Thread.sleep(phaseMs);
            fleet.mute(false);
            Running next = start(fleet, directors - 1, directors);
            all.set(directors - 1, next);
            ready(next);
            next.load = new Load(next.port, perSecond, 7 + directors, KB, 3);
            fleet.leave("s-1");
            Thread.sleep(2 * phaseMs);
            judge(all, ended, fleet);
        } finally {
            for (Running each : all) {
                each.process.destroyForcibly().waitFor();
            }
            try (Stream<Path> files = Files.walk(root)) {
                files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
            }
        }
    }

    private void judge(List<Running> all, List<Load> killed, CacheFleet fleet) throws Exception {
        long asked = 0;
        long served = 0;
        long lost = 0;
        long twice = 0;
        int badEnds = 0;
        for (Running each : all) {
            each.load.drain(7_000);
            each.process.destroy();
            badEnds += each.process.waitFor(10, TimeUnit.SECONDS) && each.process.exitValue() == 0 ? 0 : 1;
            each.load.close();
            asked += each.load.asked;
            served += each.load.served;
            lost += each.load.asked - each.load.answered;
            twice += each.load.twice;
        }
        for (Load load : killed) {
            twice += load.twice;
        }
        Map<String, Double> seen = new TreeMap<>(fleet.figures());
        figures.put("processes", all.size());
        figures.put("asked", asked);
        figures.put("served", Math.round(1000.0 * served / asked) / 1000.0);
        figures.put("lost", lost);
        figures.put("twice", twice);
        seen.forEach((name, value) -> figures.put("proc_" + name, Math.round(100 * value) / 100.0));
        hold("requests lost", lost == 0 && twice == 0);
        hold("a director ended badly", badEnds == 0);
        hold("too few served", served >= 0.97 * asked);
        hold("a drain was not kept", seen.get("drains_broken") == 0);
        hold("an order ran twice", seen.get("orders_twice") == 0);
        hold("a cold cache was pushed over", seen.get("overruns") == 0);
        hold("the cache that joined was not used", seen.get("busiest_s-9") > 0);
        hold("a process's cache was idle", seen.get("idle_s") == 0);
    }

    private Running start(CacheFleet fleet, int number, int directors) throws Exception {
        Map.Entry<String, String> channel = fleet.channel();
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode config = (ObjectNode) mapper.readTree(Files.readString(Path.of("src/test/resources/director.json"))
                .replaceAll("\\$\\{[^}]*}", channel.getKey()));
        Running running = new Running();
        running.port = free();
        running.admin = free();
        config.put("name", "n" + number).put("listen", "127.0.0.1:" + running.port)
                .put("admin", "127.0.0.1:" + running.admin).put("seed", String.format("%016x", 77 + number));
        ((ObjectNode) config.get("limits")).put("sockets", 512);
        config.set("known", mapper.readTree(channel.getValue()));
        ObjectNode settings = (ObjectNode) config.get("settings");
        settings.put("position", number).put("fleet-size", directors);
        ObjectNode family = (ObjectNode) settings.get("family-info");
        family.put("says", "hit").put("straight", false).put("shares-fills", false).put("peers-fill", "none");
        family.putArray("crew-by-zone").add(0).add(directors);
        family.putArray("zone-link-kb-per-s").add(0).add(60_000);
        ((ObjectNode) settings.get("rules")).put("drain-grace-us", 250_000).put("cold-from", COLD.from())
                .put("cold-us", COLD.warmUs()).put("tip-multiple", COLD.multiple());
        Path file = Files.createDirectories(root.resolve("n" + number)).resolve("config.json");
        Files.writeString(file, mapper.writeValueAsString(config));
        ProcessBuilder builder = new ProcessBuilder(JAVA, "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx88m",
                "-cp", System.getProperty("java.class.path"), "clovermill.cli.Main", "serve");
        builder.environment().put("BALANCER_CONFIG", file.toString());
        builder.environment().put("TMPDIR", file.getParent().toString());
        builder.environment().remove("BALANCER_LISTEN");
        running.process = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(root.resolve("n" + number + ".log").toFile())).start();
        return running;
    }

    private static int free() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    private static void ready(Running running) throws Exception {
        for (long untilNs = System.nanoTime() + READY_MS * 1_000_000; System.nanoTime() < untilNs; Thread.sleep(20)) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", running.admin), 1000);
                socket.setSoTimeout(1000);
                socket.getOutputStream().write("GET /ready HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                byte[] answer = socket.getInputStream().readAllBytes();
                if (new String(answer, StandardCharsets.US_ASCII).startsWith("HTTP/1.1 200")) {
                    return;
                }
            } catch (IOException notYet) {
                continue;
            }
        }
        throw new IllegalStateException("a director is not ready");
    }
}
