package clovermill.prove;

import clovermill.simulation.emulator.GossipFleet.Cut;
import clovermill.simulation.emulator.GossipFleet.GossipMetrics;
import clovermill.simulation.emulator.GossipFleet.Kill;
import clovermill.simulation.emulator.GossipFleet.Scenario;
import clovermill.simulation.emulator.GossipFleet;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The long proof of limits on the whole fleet ({@code make prove-fleet-limits}): the emulator at 10, 100 and 1,000
 * directors through every hard case, then real processes that talk over links which drop, delay, spoil and cut.
 */
public final class LimitsProof {

    private static final int DIRECTORS = 4;
    private static final int LIMIT = 160;
    private static final int PER_DIRECTOR = 100;
    /** Reads that all directors together may have out: some twice as many as there are on average. */
    private static final int OPEN = 8;
    private static final double BURST_S = 0.1;
    /** What a request may take from a director to a cache more than another one: widens the window that is judged. */
    private static final double WAY_S = 0.1;
    private static final long INTERVAL_MS = 100;
    private static final long TERM_MS = 1000;
    /** The bound that {@code docs/operate/fleet-limits.md} gives for so many directors, and a request's way. */
    private static final long STALE_MS = 20 * INTERVAL_MS + 300;

    private final Path root = Files.createTempDirectory("prove-fleet-limits");
    private final Map<String, Object> figures = new LinkedHashMap<>();
    private final List<String> broken = new ArrayList<>();
    private long staleMs;

    private LimitsProof() throws IOException {}

    /** Property: seed. */
    public static void main(String[] args) throws Exception {
        LimitsProof proof = new LimitsProof();
        proof.emulate(List.of(10, 100, 1000), Long.getLong("seed", 7));
        proof.processes(5_000);
        System.out.println(proof.line());
        System.exit(proof.broken.isEmpty() ? 0 : 1);
    }

    /** Processes alone, for the tests; the line of figures. */
    static String processesShortly() throws Exception {
        LimitsProof proof = new LimitsProof();
        proof.processes(2_500);
        return proof.line();
    }

    private String line() {
        StringBuilder line = new StringBuilder("prove-fleet-limits:");
        figures.forEach((name, value) -> line.append(' ').append(name).append('=').append(value));
        return line.append(" broken=").append(broken).append(" holds=").append(broken.isEmpty()).toString();
    }

    private void hold(String what, boolean holds) {
        if (!holds) {
            broken.add(what);
        }
    }

    private void emulate(List<Integer> sizes, long seed) {
        double overshoot = -Double.MAX_VALUE;
        int lost = 0;
        long stale = 0;
        for (int n : sizes) {
            int hot = n / 10;
            Map<String, Scenario> cases = new LinkedHashMap<>();
            cases.put("plain", new Scenario(n, 1000, hot, 2, 0, 80, 60, List.of(), List.of()));
            cases.put("all_hot", new Scenario(n, 1000, n, 2, 0, 80, 60, List.of(), List.of()));
            cases.put("loss", new Scenario(n, 1000, hot, 2, 0.3, 80, 60, List.of(), List.of()));
            cases.put("partition",
                    new Scenario(n, 1000, hot, 2, 0, 80, 60, List.of(new Cut(8, 30, 0, n / 2)), List.of()));
            cases.put("alone", new Scenario(n, 1000, hot, 2, 0.05, 80, 60, List.of(new Cut(8, 20, 0, 1)), List.of()));
            cases.put("kills", new Scenario(n, 1000, hot, 2, 0.1, 80, 60, List.of(),
                    List.of(new Kill(10, 0.3, 0), new Kill(12, 0.1, n / 2), new Kill(20, 3, n - 1))));
            for (Map.Entry<String, Scenario> each : cases.entrySet()) {
                GossipMetrics seen = GossipFleet.simulate(each.getValue(), seed);
                String name = each.getKey() + "_" + n;
                System.out.println(name + " " + seen);
                hold(name + " admitted " + seen.maxAdmittedPerSecond(), seen.maxAdmittedPerSecond() <= seen.bound());
                hold(name + " lost entries", seen.lostEntries() == 0);
                hold(name + " stale " + seen.staleMs(), seen.staleMs() <= seen.staleBoundMs());
                hold(name + " alone", seen.excessWhileIsolated() <= 1e-9);
                hold(name + " another run", seen.equals(GossipFleet.simulate(each.getValue(), seed)));
                overshoot = Math.max(overshoot, seen.maxAdmittedPerSecond() - each.getValue().limit());
                lost += seen.lostEntries();
                stale = Math.max(stale, seen.staleMs());
                if (each.getKey().equals("plain")) {
                    figures.put("used_" + n, Math.round(100 * seen.usedShare()) / 100.0);
                }
            }
        }
        figures.put("directors", sizes.toString().replaceAll("[^0-9,]", ""));
        figures.put("limit", 1000);
        figures.put("overshoot_max", Math.round(overshoot));
        figures.put("bound", "limit*burst+directors");
        figures.put("stale_ms_max", stale);
        figures.put("lost_entries", lost);
    }

    private void processes(long phaseMs) throws Exception {
        List<DirectorProcess> all = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < DIRECTORS; i++) {
            ports.add(DirectorProcess.free());
        }
        try (CacheFleet caches = new CacheFleet(5, 12, DirectorProcess.WORK_US / 4, DirectorProcess.COLD);
                Relay relay = new Relay(ports)) {
            for (int i = 0; i < DIRECTORS; i++) {
                all.add(start(caches, relay, i));
            }
            for (int i = 0; i < DIRECTORS; i++) {
                all.get(i).ready();
                all.get(i).load = new Load(all.get(i).port, i == 0 ? 2 * PER_DIRECTOR : PER_DIRECTOR, 7 + i, 100, 3);
            }
            Thread.sleep(phaseMs);
            judge("plain", caches);
            replicatesOutage(caches, all.get(1), "s-2");

            relay.faults(0, 0, 2, false);
            Thread.sleep(phaseMs / 2);
            hold("a director takes no calls while cut off", all.get(0).outage("s-3", true)
                    && all.get(3).outage("s-4", true));
            Thread.sleep(phaseMs);
            judge("partition", caches);
            relay.faults(0, 0, 0, false);
            silent(caches, "s-3", caches.nowUs());
            silent(caches, "s-4", caches.nowUs());
            hold("a director cannot put back what another took out", all.get(3).outage("s-3", false)
                    && all.get(0).outage("s-4", false));

            relay.faults(0.3, 200, 0, true);
            Thread.sleep(phaseMs);
            judge("loss", caches);
            replicatesOutage(caches, all.get(2), "s-5");

            DirectorProcess killed = all.get(3);
            killed.process.destroyForcibly().waitFor();
            killed.load.close();
            all.set(3, start(caches, relay, 3));
            all.get(3).ready();
            all.get(3).outage("s-1", true);
            all.get(3).load = new Load(all.get(3).port, PER_DIRECTOR, 77, 100, 3);
            silent(caches, "s-1", caches.nowUs());
            hold("a director that started anew does not know what is out", all.get(3).outage("s-1", false));
            Thread.sleep(phaseMs);
            judge("kill", caches);
            hold("caches put back are not used", caches.nowUs() - caches.lastUs("s-3") < 2_000_000
                    && caches.nowUs() - caches.lastUs("s-1") < 2_000_000);
            leave(all, caches);
        } finally {
            DirectorProcess.end(all, root);
        }
    }

    /** All together admit no more than the bound in any second of the phase. */
    private void judge(String phase, CacheFleet caches) throws Exception {
        int most = caches.mostInASecond();
        double bound = LIMIT * (1 + BURST_S + WAY_S) + DIRECTORS;
        figures.put("proc_most_" + phase, most);
        hold("in one second of " + phase + " " + most + " came, the bound is " + bound, most <= bound);
        hold("in " + phase + " less than a third of the limit was used", most > LIMIT / 3);
    }

    /** One director is told that a cache is out, and all obey; then it is put back. */
    private void replicatesOutage(CacheFleet caches, DirectorProcess by, String id) throws Exception {
        hold("a cache cannot be taken out", by.outage(id, true));
        silent(caches, id, caches.nowUs());
        hold("a cache cannot be put back", by.outage(id, false));
    }

    /** Waits for twice the bound, and looks when the last request came to a cache. */
    private void silent(CacheFleet caches, String id, long fromUs) throws Exception {
        Thread.sleep(2 * STALE_MS);
        long took = Math.max(0, (caches.lastUs(id) - fromUs) / 1000);
        staleMs = Math.max(staleMs, took);
        hold(id + " was still used " + took + " ms after it was taken out", took <= STALE_MS);
    }

    private void leave(List<DirectorProcess> all, CacheFleet caches) throws Exception {
        long lost = 0;
        int ignoredLines = 0;
        for (int i = 0; i < all.size(); i++) {
            DirectorProcess each = all.get(i);
            each.load.drain(7_000);
            each.process.destroy();
            hold("a director ended badly", each.process.waitFor(10, TimeUnit.SECONDS) && each.process.exitValue() == 0);
            each.load.close();
            lost += each.load.asked - each.load.answered + each.load.twice;
            List<String> log = Files.readAllLines(DirectorProcess.log(root, i));
            ignoredLines += (int) log.stream().filter(line -> line.contains("datagram was ignored")).count();
            hold("a fault in the log: " + log, log.stream().noneMatch(line -> line.contains("Exception")));
        }
        figures.put("proc_bound", LIMIT * (1 + BURST_S + WAY_S) + DIRECTORS);
        figures.put("proc_stale_ms", staleMs);
        figures.put("proc_stale_bound", STALE_MS);
        figures.put("proc_lost", lost);
        figures.put("proc_ignored_lines", ignoredLines);
        figures.put("proc_open", Math.round(caches.figures().get("most_reads")));
        figures.put("proc_open_limit", OPEN);
        hold("more reads were out than the limit", caches.figures().get("most_reads") <= OPEN);
        hold("requests without one answer", lost == 0);
        hold("spoilt datagrams are not told", ignoredLines > 0);
        hold("spoilt datagrams flood the log", ignoredLines < 40);
        hold("a rule broken", caches.figures().get("orders_twice") == 0);
    }

    private DirectorProcess start(CacheFleet caches, Relay relay, int self) throws Exception {
        Path key = root.resolve("key");
        Files.writeString(key, "00112233445566778899aabbccddeeff");
        Path settings = root.resolve("settings-" + self + ".json");
        Files.writeString(settings, new ObjectMapper().writeValueAsString(Map.of("fleet", Map.of(
                "directors", relay.addresses(self), "self", self, "key_file", key.toString(),
                "interval_ms", INTERVAL_MS, "term_ms", TERM_MS, "burst_ms", (long) (1000 * BURST_S),
                "limits", List.of(Map.of("name", "all", "per_second", LIMIT),
                        Map.of("name", "reads", "class", "page", "open", OPEN))))));
        return DirectorProcess.start(root, caches, self, DIRECTORS, settings);
    }
}
