package clovermill.prove;

import clovermill.simulation.emulator.Emulation;
import clovermill.simulation.emulator.FleetMetrics;
import clovermill.simulation.emulator.Plan.Fault;
import clovermill.simulation.emulator.Plan;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Long proof of even load ({@code make prove-spread}): the emulator with 10, 100 and 1,000 directors in every difficult
 * case, each run twice and compared with the module without load reports; then real processes with injected faults.
 */
public final class SpreadProof {

    private final Map<String, Object> figures = new LinkedHashMap<>();
    private final List<String> failures = new ArrayList<>();

    private final Path root = Files.createTempDirectory("prove-spread");

    private SpreadProof() throws IOException {}

    /** System property: seed. */
    public static void main(String[] args) throws Exception {
        SpreadProof proof = new SpreadProof();
        proof.runEmulator(List.of(10, 100, 1000), 60, Long.getLong("seed", 7));
        proof.runProcesses(4, 40, 4_000);
        System.out.println(proof.line());
        System.exit(proof.failures.isEmpty() ? 0 : 1);
    }

    /** Runs a short form with processes only, for the tests; returns the result line. */
    static String runProcessesShort() throws Exception {
        SpreadProof proof = new SpreadProof();
        proof.runProcesses(3, 50, 1_500);
        return proof.line();
    }

    private String line() {
        StringBuilder line = new StringBuilder("prove-spread:");
        figures.forEach((name, value) -> line.append(' ').append(name).append('=').append(value));
        return line.append(" broken=").append(failures).append(" holds=").append(failures.isEmpty()).toString();
    }

    private void check(String what, boolean passes) {
        if (!passes) {
            failures.add(what);
        }
    }

    // ---- Emulator ---------------------------------------------------------------------------------

    /** Returns the difficult cases by name, for a number of directors. */
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
        cases.put("skew", plain.withSkew(10));
        cases.put("kill", plain.with(new Fault("kill", at, 2, 0, 0)).with(new Fault("leave", at + 1, 0, 5, 0)));
        return cases;
    }

    private void runEmulator(List<Integer> sizes, int seconds, long seed) throws Plan.InvalidPlanException {
        int overruns = 0;
        int idleSeconds = 0;
        boolean reproducible = true;
        for (int directors : sizes) {
            for (Map.Entry<String, Plan> each : cases(directors, seconds).entrySet()) {
                FleetMetrics module = Emulation.simulate(each.getValue(), seed);
                FleetMetrics withoutReports = Emulation.simulate(each.getValue().withChoice("guess"), seed);
                reproducible &= module.figures().equals(Emulation.simulate(each.getValue(), seed).figures());
                overruns += module.overruns();
                idleSeconds += module.idleSeconds();
                String name = each.getKey() + "_" + directors;
                System.out.println(name + " module " + module.figures());
                System.out.println(name + " guess  " + withoutReports.figures());
                check(name + " serves fewer in time than without reports",
                        module.inTimeShare() >= withoutReports.inTimeShare() - 0.005);
                check(name + " is less even than without reports",
                        module.maxOverMean() <= 1.1 * withoutReports.maxOverMean());
                if (each.getKey().equals("plain")) {
                    figures.put("max_over_mean_" + directors, Math.round(100 * module.maxOverMean()) / 100.0);
                    figures.put("guess_" + directors, Math.round(100 * withoutReports.maxOverMean()) / 100.0);
                    figures.put("in_time_" + directors, Math.round(1000 * module.inTimeShare()) / 1000.0);
                }
            }
        }
        figures.put("directors", sizes.toString().replaceAll("[^0-9,]", ""));
        figures.put("idle_s", idleSeconds);
        figures.put("overruns", overruns);
        figures.put("same", reproducible);
        check("idle caches", idleSeconds == 0);
        check("cold caches overloaded", overruns == 0);
        check("runs with the same seed differ", reproducible);
    }

    // ---- Processes --------------------------------------------------------------------------------

    private void runProcesses(int directors, int perSecond, long phaseMs) throws Exception {
        List<DirectorProcess> all = new ArrayList<>();
        List<LoadGenerator> ended = new ArrayList<>();
        try (CacheFleet fleet = new CacheFleet(5, 6, DirectorProcess.TRANSFER_US, DirectorProcess.SLOW_START)) {
            for (int i = 0; i < directors; i++) {
                all.add(DirectorProcess.start(root, fleet, i, directors, null));
            }
            for (DirectorProcess each : all) {
                each.awaitReady();
                // The first director has three times the load of the others; the seeds, and so request ids, differ.
                int number = all.indexOf(each);
                each.load = new LoadGenerator(each.port, number == 0 ? 3 * perSecond : perSecond, 7 + number,
                        DirectorProcess.KB, 3);
            }
            Thread.sleep(2 * phaseMs);
            fleet.freezeReports(true);
            Thread.sleep(phaseMs);
            fleet.freezeReports(false);
            fleet.setPace("s-2", 0.4);
            Thread.sleep(phaseMs);
            fleet.setPace("s-2", 1);
            fleet.muteReports(true);
            fleet.join("s-9", 6);
            DirectorProcess killed = all.get(directors - 1);
            killed.process.destroyForcibly().waitFor();
            killed.load.close();
            ended.add(killed.load);
            Thread.sleep(phaseMs);
            fleet.muteReports(false);
            DirectorProcess next = DirectorProcess.start(root, fleet, directors - 1, directors, null);
            all.set(directors - 1, next);
            next.awaitReady();
            next.load = new LoadGenerator(next.port, perSecond, 7 + directors, DirectorProcess.KB, 3);
            fleet.drain("s-1");
            Thread.sleep(2 * phaseMs);
            evaluate(all, ended, fleet);
        } finally {
            DirectorProcess.stopAll(all, root);
        }
    }

    private void evaluate(List<DirectorProcess> all, List<LoadGenerator> killed, CacheFleet fleet) throws Exception {
        long requests = 0;
        long served = 0;
        long lost = 0;
        long duplicates = 0;
        int abnormalExits = 0;
        for (DirectorProcess each : all) {
            each.load.drain(7_000);
            each.process.destroy();
            abnormalExits += each.process.waitFor(10, TimeUnit.SECONDS) && each.process.exitValue() == 0 ? 0 : 1;
            each.load.close();
            requests += each.load.requests;
            served += each.load.served;
            lost += each.load.requests - each.load.responses;
            duplicates += each.load.duplicates;
        }
        for (LoadGenerator load : killed) {
            duplicates += load.duplicates;
        }
        Map<String, Double> caches = new TreeMap<>(fleet.figures());
        figures.put("processes", all.size());
        figures.put("asked", requests);
        figures.put("served", Math.round(1000.0 * served / requests) / 1000.0);
        figures.put("lost", lost);
        figures.put("twice", duplicates);
        caches.forEach((name, value) -> figures.put("proc_" + name, Math.round(100 * value) / 100.0));
        check("requests lost", lost == 0 && duplicates == 0);
        check("a director exited abnormally", abnormalExits == 0);
        check("too few requests served", served >= 0.97 * requests);
        check("a draining cache received requests", caches.get("drains_broken") == 0);
        check("an order was executed twice", caches.get("orders_twice") == 0);
        check("a cold cache was overloaded", caches.get("overruns") == 0);
        check("the cache that joined was not used", caches.get("busiest_s-9") > 0);
        check("a cache was idle", caches.get("idle_s") == 0);
    }
}
