package clovermill.prove.capacity;

import clovermill.simulation.emulator.GossipFleet.Cut;
import clovermill.simulation.emulator.GossipFleet.GossipMetrics;
import clovermill.simulation.emulator.GossipFleet.Scenario;
import clovermill.simulation.emulator.GossipFleet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Measures a fleet-wide limit at several fleet sizes ({@code make prove-limits-at-size}): how much of it is used and by
 * how much it is exceeded, in simulated time with the real gossip members. It only counts, so that the load of the
 * machine does not affect the result.
 */
public final class LimitsAtSize {

    private static final long SEED = 7;
    private static final long DELAY_MS = 80;
    private static final int SECONDS = 40;
    private static final int REGIONS = 6;
    /** Requests a second: fewer than two per director at the target size, and a hundred per director. */
    private static final List<Integer> LIMITS = List.of(1_000, 54_000);

    private LimitsAtSize() {}

    /** Writes docs/capacity/limits.csv. */
    public static void main(String[] arguments) throws Exception {
        FigureFile file = new FigureFile("limits.csv");
        RunEnvironment.describe(file,
                "make prove-limits-at-size: simulated time; seed " + SEED + "; delays up to " + DELAY_MS
                        + " ms; " + SECONDS + " s a case; twice the limit is asked for");
        boolean passed = true;
        for (int directors : List.of(60, 180, 540, 1080)) {
            for (int limit : LIMITS) {
                for (Map.Entry<String, Scenario> each : cases(directors, limit).entrySet()) {
                    GossipMetrics metrics = GossipFleet.simulate(each.getValue(), SEED);
                    System.out.println(directors + " " + limit + " " + each.getKey() + " " + metrics);
                    add(file, each.getKey(), directors, limit, metrics);
                    passed &= metrics.maxAdmittedPerSecond() <= metrics.bound();
                }
            }
        }
        file.write(CapacityTables.FIGURES.resolve("limits.csv"));
        System.out.println("prove-limits-at-size: rows=" + file.figures().size() + " holds=" + passed);
        System.exit(passed ? 0 : 1);
    }

    private static Map<String, Scenario> cases(int directors, int limit) {
        Map<String, Scenario> cases = new LinkedHashMap<>();
        cases.put("tenth-hot", scenario(directors, limit, directors / 10, 0.01, List.of()));
        cases.put("all-hot", scenario(directors, limit, directors, 0.01, List.of()));
        cases.put("region-cut", scenario(directors, limit, directors, 0.01,
                List.of(new Cut(8, 24, 0, directors / REGIONS))));
        return cases;
    }

    private static Scenario scenario(int directors, int limit, int hot, double loss, List<Cut> cuts) {
        return new Scenario(directors, limit, hot, 2, loss, DELAY_MS, SECONDS, cuts, List.of());
    }

    private static void add(FigureFile file, String kind, int directors, int limit, GossipMetrics metrics) {
        file.add(kind, directors, limit, "used", 100 * metrics.usedShare(), 1, "%", "");
        file.add(kind, directors, limit, "most", metrics.maxAdmittedPerSecond(), 0, "in a second", "");
        file.add(kind, directors, limit, "bound", metrics.bound(), 0, "in a second", "");
        file.add(kind, directors, limit, "over", 100 * Math.max(0, metrics.maxAdmittedPerSecond() / limit - 1), 1, "%",
                "");
    }
}
