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
 * The long proof of even load ({@code make prove-spread}): the emulator at 10, 100 and 1,000 directors through every
 * hard case, each twice, beside the module without reports; then real processes with faults put between them.
 */
public final class SpreadProof {

    private final Map<String, Object> figures = new LinkedHashMap<>();
    private final List<String> broken = new ArrayList<>();

    private final Path root = Files.createTempDirectory("prove-spread");

    private SpreadProof() throws IOException {}

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
        cases.put("skew", plain.withSkew(10));
        cases.put("kill", plain.with(new Fault("kill", at, 2, 0, 0)).with(new Fault("leave", at + 1, 0, 5, 0)));
        return cases;
    }

    private void emulate(List<Integer> sizes, int seconds, long seed) throws Plan.InvalidPlanException {
        int overruns = 0;
        int idle = 0;
        boolean same = true;
        for (int directors : sizes) {
            for (Map.Entry<String, Plan> each : cases(directors, seconds).entrySet()) {
                FleetMetrics module = Emulation.simulate(each.getValue(), seed);
                FleetMetrics guess = Emulation.simulate(each.getValue().withChoice("guess"), seed);
                same &= module.figures().equals(Emulation.simulate(each.getValue(), seed).figures());
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

    private void processes(int directors, int perSecond, long phaseMs) throws Exception {
        List<DirectorProcess> all = new ArrayList<>();
        List<Load> ended = new ArrayList<>();
        try (CacheFleet fleet = new CacheFleet(5, 6, DirectorProcess.WORK_US, DirectorProcess.COLD)) {
            for (int i = 0; i < directors; i++) {
                all.add(DirectorProcess.start(root, fleet, i, directors, null));
            }
            for (DirectorProcess each : all) {
                each.ready();
                // The first carries three times the others' load; no two ask under the same ids.
                int number = all.indexOf(each);
                each.load = new Load(each.port, number == 0 ? 3 * perSecond : perSecond, 7 + number,
                        DirectorProcess.KB, 3);
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
            DirectorProcess killed = all.get(directors - 1);
            killed.process.destroyForcibly().waitFor();
            killed.load.close();
            ended.add(killed.load);
            Thread.sleep(phaseMs);
            fleet.mute(false);
            DirectorProcess next = DirectorProcess.start(root, fleet, directors - 1, directors, null);
            all.set(directors - 1, next);
            next.ready();
            next.load = new Load(next.port, perSecond, 7 + directors, DirectorProcess.KB, 3);
            fleet.leave("s-1");
            Thread.sleep(2 * phaseMs);
            judge(all, ended, fleet);
        } finally {
            DirectorProcess.end(all, root);
        }
    }

    private void judge(List<DirectorProcess> all, List<Load> killed, CacheFleet fleet) throws Exception {
        long asked = 0;
        long served = 0;
        long lost = 0;
        long twice = 0;
        int badEnds = 0;
        for (DirectorProcess each : all) {
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
}
