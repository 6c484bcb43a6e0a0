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
 * Long proof of fleet-wide limits ({@code make prove-fleet-limits}): the emulator with 10, 100 and 1,000 directors in
 * every difficult case, then real processes over links that drop, delay, corrupt and partition.
 */
public final class LimitsProof {

    private static final int DIRECTORS = 4;
    private static final int LIMIT = 160;
    private static final int REQUESTS_PER_SECOND = 100;
    /** Limit on reads open at all directors together: about twice the average. */
    private static final int MAX_OPEN_READS = 8;
    private static final double BURST_S = 0.1;
    /** Allowed difference in the delay between director and cache, which widens the window that is checked. */
    private static final double PATH_VARIATION_S = 0.1;
    private static final long INTERVAL_MS = 100;
    private static final long TERM_MS = 1000;
    /** Bound of {@code docs/operate/fleet-limits.md} for this number of directors, and the delay of a request. */
    private static final long MAX_STALE_MS = 20 * INTERVAL_MS + 300;

    private final Path root = Files.createTempDirectory("prove-fleet-limits");
    private final Map<String, Object> figures = new LinkedHashMap<>();
    private final List<String> failures = new ArrayList<>();
    private long staleMs;

    private LimitsProof() throws IOException {}

    /** System property: seed. */
    public static void main(String[] args) throws Exception {
        LimitsProof proof = new LimitsProof();
        proof.runEmulator(List.of(10, 100, 1000), Long.getLong("seed", 7));
        proof.runProcesses(5_000);
        System.out.println(proof.line());
        System.exit(proof.failures.isEmpty() ? 0 : 1);
    }

    /** Runs a short form with processes only, for the tests; returns the result line. */
    static String runProcessesShort() throws Exception {
        LimitsProof proof = new LimitsProof();
        proof.runProcesses(2_500);
        return proof.line();
    }

    private String line() {
        StringBuilder line = new StringBuilder("prove-fleet-limits:");
        figures.forEach((name, value) -> line.append(' ').append(name).append('=').append(value));
        return line.append(" broken=").append(failures).append(" holds=").append(failures.isEmpty()).toString();
    }

    private void check(String what, boolean passes) {
        if (!passes) {
            failures.add(what);
        }
    }

    private void runEmulator(List<Integer> sizes, long seed) {
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
                GossipMetrics metrics = GossipFleet.simulate(each.getValue(), seed);
                String name = each.getKey() + "_" + n;
                System.out.println(name + " " + metrics);
                check(name + " admitted " + metrics.maxAdmittedPerSecond(),
                        metrics.maxAdmittedPerSecond() <= metrics.bound());
                check(name + " has lost entries", metrics.lostEntries() == 0);
                check(name + " staleness in ms: " + metrics.staleMs(), metrics.staleMs() <= metrics.staleBoundMs());
                check(name + " exceeds an isolated director's share", metrics.excessWhileIsolated() <= 1e-9);
                check(name + " differs when repeated with the same seed",
                        metrics.equals(GossipFleet.simulate(each.getValue(), seed)));
                overshoot = Math.max(overshoot, metrics.maxAdmittedPerSecond() - each.getValue().limit());
                lost += metrics.lostEntries();
                stale = Math.max(stale, metrics.staleMs());
                if (each.getKey().equals("plain")) {
                    figures.put("used_" + n, Math.round(100 * metrics.usedShare()) / 100.0);
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

    private void runProcesses(long phaseMs) throws Exception {
        List<DirectorProcess> all = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < DIRECTORS; i++) {
            ports.add(DirectorProcess.freePort());
        }
        try (CacheFleet caches = new CacheFleet(5, 12, DirectorProcess.TRANSFER_US / 4, DirectorProcess.SLOW_START);
                Relay relay = new Relay(ports)) {
            for (int i = 0; i < DIRECTORS; i++) {
                all.add(start(caches, relay, i));
            }
            for (int i = 0; i < DIRECTORS; i++) {
                all.get(i).awaitReady();
                all.get(i).load = new LoadGenerator(all.get(i).port,
                        i == 0 ? 2 * REQUESTS_PER_SECOND : REQUESTS_PER_SECOND, 7 + i, 100, 3);
            }
            Thread.sleep(phaseMs);
            checkAdmitted("plain", caches);
            checkReplication(caches, all.get(1), "s-2");

            relay.setFaults(0, 0, 2, false);
            Thread.sleep(phaseMs / 2);
            check("a director rejects admin calls during a partition", all.get(0).setDisabled("s-3", true)
                    && all.get(3).setDisabled("s-4", true));
            Thread.sleep(phaseMs);
            checkAdmitted("partition", caches);
            relay.setFaults(0, 0, 0, false);
            checkDisabled(caches, "s-3", caches.nowUs());
            checkDisabled(caches, "s-4", caches.nowUs());
            check("a director cannot enable a cache that another disabled", all.get(3).setDisabled("s-3", false)
                    && all.get(0).setDisabled("s-4", false));

            relay.setFaults(0.3, 200, 0, true);
            Thread.sleep(phaseMs);
            checkAdmitted("loss", caches);
            checkReplication(caches, all.get(2), "s-5");

            DirectorProcess killed = all.get(3);
            killed.process.destroyForcibly().waitFor();
            killed.load.close();
            all.set(3, start(caches, relay, 3));
            all.get(3).awaitReady();
            all.get(3).setDisabled("s-1", true);
            all.get(3).load = new LoadGenerator(all.get(3).port, REQUESTS_PER_SECOND, 77, 100, 3);
            checkDisabled(caches, "s-1", caches.nowUs());
            check("a restarted director does not know which cache is disabled", all.get(3).setDisabled("s-1", false));
            Thread.sleep(phaseMs);
            checkAdmitted("kill", caches);
            check("enabled caches are not used", caches.nowUs() - caches.lastRequestUs("s-3") < 2_000_000
                    && caches.nowUs() - caches.lastRequestUs("s-1") < 2_000_000);
            shutDown(all, caches);
        } finally {
            DirectorProcess.stopAll(all, root);
        }
    }

    /** Checks that all directors together admit no more than the bound in any second of the phase. */
    private void checkAdmitted(String phase, CacheFleet caches) throws Exception {
        int max = caches.takeMaxPerSecond();
        double bound = LIMIT * (1 + BURST_S + PATH_VARIATION_S) + DIRECTORS;
        figures.put("proc_most_" + phase, max);
        check("in one second of " + phase + " " + max + " requests were received, the bound is " + bound, max <= bound);
        check("in " + phase + " less than a third of the limit was used", max > LIMIT / 3);
    }

    /** Disables a cache at one director, checks that all directors follow, and enables it again. */
    private void checkReplication(CacheFleet caches, DirectorProcess by, String id) throws Exception {
        check("a cache cannot be disabled", by.setDisabled(id, true));
        checkDisabled(caches, id, caches.nowUs());
        check("a cache cannot be enabled", by.setDisabled(id, false));
    }

    /** Waits for twice the bound, then checks when a cache received its last request. */
    private void checkDisabled(CacheFleet caches, String id, long fromUs) throws Exception {
        Thread.sleep(2 * MAX_STALE_MS);
        long lastUseMs = Math.max(0, (caches.lastRequestUs(id) - fromUs) / 1000);
        staleMs = Math.max(staleMs, lastUseMs);
        check(id + " was still used " + lastUseMs + " ms after it was disabled", lastUseMs <= MAX_STALE_MS);
    }

    private void shutDown(List<DirectorProcess> all, CacheFleet caches) throws Exception {
        long lost = 0;
        int ignoredLines = 0;
        for (int i = 0; i < all.size(); i++) {
            DirectorProcess each = all.get(i);
            each.load.drain(7_000);
            each.process.destroy();
            check("a director exited abnormally",
                    each.process.waitFor(10, TimeUnit.SECONDS) && each.process.exitValue() == 0);
            each.load.close();
            lost += each.load.requests - each.load.responses + each.load.duplicates;
            List<String> log = Files.readAllLines(DirectorProcess.log(root, i));
            ignoredLines += (int) log.stream().filter(line -> line.contains("datagram was ignored")).count();
            check("an exception in the log: " + log, log.stream().noneMatch(line -> line.contains("Exception")));
        }
        figures.put("proc_bound", LIMIT * (1 + BURST_S + PATH_VARIATION_S) + DIRECTORS);
        figures.put("proc_stale_ms", staleMs);
        figures.put("proc_stale_bound", MAX_STALE_MS);
        figures.put("proc_lost", lost);
        figures.put("proc_ignored_lines", ignoredLines);
        figures.put("proc_open", Math.round(caches.figures().get("most_reads")));
        figures.put("proc_open_limit", MAX_OPEN_READS);
        check("more reads were open than the limit", caches.figures().get("most_reads") <= MAX_OPEN_READS);
        check("requests without exactly one response", lost == 0);
        check("corrupted datagrams are not logged", ignoredLines > 0);
        check("corrupted datagrams flood the log", ignoredLines < 40);
        check("an order was executed twice", caches.figures().get("orders_twice") == 0);
    }

    private DirectorProcess start(CacheFleet caches, Relay relay, int self) throws Exception {
        Path key = root.resolve("key");
        Files.writeString(key, "00112233445566778899aabbccddeeff");
        Path settings = root.resolve("settings-" + self + ".json");
        Files.writeString(settings, new ObjectMapper().writeValueAsString(Map.of("fleet", Map.of(
                "directors", relay.addresses(self), "self", self, "key_file", key.toString(),
                "interval_ms", INTERVAL_MS, "term_ms", TERM_MS, "burst_ms", (long) (1000 * BURST_S),
                "limits", List.of(Map.of("name", "all", "per_second", LIMIT),
                        Map.of("name", "reads", "class", "page", "open", MAX_OPEN_READS))))));
        return DirectorProcess.start(root, caches, self, DIRECTORS, settings);
    }
}
