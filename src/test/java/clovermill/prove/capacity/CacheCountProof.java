package clovermill.prove.capacity;

import clovermill.prove.DirectorProcess;
import clovermill.prove.LoadGenerator;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Measures how the number of caches affects the cost of a director ({@code make prove-cache-count}): a real process,
 * started with the {@code run} line of the deploy file, serves the same simulated day with the baseline number of
 * caches and with sixteen times as many, in turn. Its traffic, its limits and the total capacity of all caches are the
 * same, and the same share of the caches is replaced. Writes {@code docs/capacity/cache-count.csv} and the table of
 * its page.
 */
public final class CacheCountProof {

    /** The page that shows the figures. */
    static final Path PAGE = Path.of("docs", "design", "cache-count.md");

    private static final int BASELINE_CACHES = Integer.getInteger("caches", 20);
    private static final int CACHE_FACTOR = 16;
    private static final int PAIRS = Integer.getInteger("pairs", 2);
    private static final long DAY_MS = 1000 * Long.getLong("day", 27);
    private static final long WARMUP_MS = 3_000;
    private static final boolean TRIAL = Boolean.getBoolean("trial");
    /** Concurrent requests that a cache of the larger fleet accepts; one of the smaller fleet accepts 16 times that. */
    private static final int CACHE_CAPACITY = 6;
    private static final int DIRECTORS = 10;
    private static final int REQUESTS_PER_SECOND = 60;
    private static final int BODY_KB = 4;
    /** Skew of object popularity: some objects are requested much more often than others. */
    private static final int POPULARITY = 4;
    private static final long SEED = 7;
    /** Number of times in a day that a twentieth of the caches is replaced. */
    private static final int REPLACEMENTS = 5;
    private static final int REPLACED_DIVISOR = 20;
    private static final long SAMPLE_MS = 50;
    private static final long DRAIN_MS = 4_000;
    /** Indexes of the two CPU times in {@code /proc/PID/stat}, counted after the process name. */
    private static final int USER_TICKS = 11;
    private static final int SYSTEM_TICKS = 12;
    private static final double TICKS_PER_SECOND = 100;
    private static final double KB_PER_MB = 1024;

    /** A compared metric with its unit, decimals and allowed growth, which is null where there is no bound. */
    private enum Metric {
        CPU("s", 2, AllowedGrowth.CPU),
        MEMORY("MB", 1, AllowedGrowth.MEMORY),
        DESCRIPTORS("", 0, AllowedGrowth.DESCRIPTORS),
        CONNECTIONS("", 0, AllowedGrowth.CONNECTIONS),
        LIST("KB", 1, AllowedGrowth.LIST),
        SERVED("", 3, AllowedGrowth.SERVED),
        LATENCY_P99("ms", 0, null);

        private final String unit;
        private final int decimals;
        private final AllowedGrowth growth;

        Metric(String unit, int decimals, AllowedGrowth growth) {
            this.unit = unit;
            this.decimals = decimals;
            this.growth = growth;
        }

        String text(double value) {
            return String.format(Locale.ROOT, "%." + decimals + "f", value);
        }
    }

    private final Map<Integer, List<Map<Metric, Double>>> days = new LinkedHashMap<>();
    private long lost;

    private CacheCountProof() {}

    /** Properties: caches, pairs (of days), day (seconds), trial (if true, writes no files). */
    public static void main(String[] arguments) throws Exception {
        CacheCountProof proof = new CacheCountProof();
        for (int pair = 0; pair < PAIRS; pair++) {
            for (int caches : List.of(BASELINE_CACHES, BASELINE_CACHES * CACHE_FACTOR)) {
                Map<Metric, Double> day = proof.runDay(caches, SEED + pair);
                proof.days.computeIfAbsent(caches, key -> new ArrayList<>()).add(day);
                System.out.println(caches + " " + day);
            }
        }
        System.exit(proof.report() ? 0 : 1);
    }

    // ---- One day ----------------------------------------------------------------------------------

    private Map<Metric, Double> runDay(int caches, long seed) throws Exception {
        Path root = Files.createTempDirectory("prove-cache-count");
        List<DirectorProcess> started = new ArrayList<>();
        try (CountingCacheFleet fleet =
                new CountingCacheFleet(caches, CACHE_CAPACITY * BASELINE_CACHES * CACHE_FACTOR / caches)) {
            Path file = DirectorProcess.configuration(root, fleet.channel(), 0, DIRECTORS);
            DirectorProcess director = DirectorProcess.deployed(root, 0, file);
            started.add(director);
            director.awaitReady();
            return measureDay(fleet, director, caches, seed);
        } finally {
            DirectorProcess.stopAll(started, root);
        }
    }

    private Map<Metric, Double> measureDay(CountingCacheFleet fleet, DirectorProcess director, int caches, long seed)
            throws Exception {
        long pid = director.process.pid();
        LoadGenerator load = new LoadGenerator(director.port, REQUESTS_PER_SECOND, seed, BODY_KB, POPULARITY);
        int descriptors = maxDescriptors(pid, WARMUP_MS);
        double cpuBefore = cpuSeconds(pid);
        long listBefore = fleet.listBytes();
        for (int i = 0; i <= REPLACEMENTS; i++) {
            descriptors = Math.max(descriptors, maxDescriptors(pid, DAY_MS / (REPLACEMENTS + 1)));
            if (i < REPLACEMENTS) {
                fleet.replace(caches / REPLACED_DIVISOR);
            }
        }
        Map<Metric, Double> day = new LinkedHashMap<>();
        day.put(Metric.CPU, cpuSeconds(pid) - cpuBefore);
        day.put(Metric.MEMORY, ProcessUsage.kilobytes(pid, "VmHWM") / KB_PER_MB);
        day.put(Metric.DESCRIPTORS, (double) descriptors);
        day.put(Metric.CONNECTIONS, (double) fleet.connections());
        day.put(Metric.LIST, (fleet.listBytes() - listBefore) / KB_PER_MB);
        load.drain(DRAIN_MS);
        load.close();
        lost += load.requests - load.responses;
        day.put(Metric.SERVED, (double) load.served / load.requests);
        day.put(Metric.LATENCY_P99, load.latencyUs.getValueAtPercentile(99) / 1000.0);
        return day;
    }

    /** Returns the user and system CPU time of a process so far, including threads that have ended. */
    private static double cpuSeconds(long pid) throws IOException {
        String line = Files.readString(Path.of("/proc", "" + pid, "stat"));
        String[] cells = line.substring(line.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(cells[USER_TICKS]) + Long.parseLong(cells[SYSTEM_TICKS])) / TICKS_PER_SECOND;
    }

    /** Samples the open descriptors of a process for {@code durationMs} and returns the largest number. */
    private static int maxDescriptors(long pid, long durationMs) throws Exception {
        int max = 0;
        long untilNs = System.nanoTime() + durationMs * 1_000_000;
        while (System.nanoTime() < untilNs) {
            try (Stream<Path> open = Files.list(Path.of("/proc", "" + pid, "fd"))) {
                max = Math.max(max, (int) open.count());
            }
            Thread.sleep(SAMPLE_MS);
        }
        return max;
    }

    // ---- Report -----------------------------------------------------------------------------------

    private boolean report() throws IOException, InterruptedException {
        int added = BASELINE_CACHES * (CACHE_FACTOR - 1);
        FigureFile file = new FigureFile("cache-count.csv");
        RunEnvironment.describe(file, "make prove-cache-count: " + PAIRS + " days of " + DAY_MS / 1000 + " s with "
                + BASELINE_CACHES + " and " + BASELINE_CACHES * CACHE_FACTOR + " caches in turn after "
                + WARMUP_MS / 1000 + " s of warm-up; "
                + REQUESTS_PER_SECOND + " requests a second; means");
        List<String> lines = new ArrayList<>();
        file.comments().forEach(comment -> lines.add("# " + comment));
        lines.add("kind,unit," + BASELINE_CACHES + " caches," + BASELINE_CACHES * CACHE_FACTOR
                + " caches,allowed,holds,single days");
        boolean passed = lost == 0;
        for (Metric metric : Metric.values()) {
            double baseline = mean(BASELINE_CACHES, metric);
            double enlarged = mean(BASELINE_CACHES * CACHE_FACTOR, metric);
            AllowedGrowth growth = metric.growth;
            boolean allowed = growth == null || growth.allows(baseline, enlarged, added);
            passed &= allowed;
            lines.add(String.join(",", metric.name().toLowerCase(Locale.ROOT), metric.unit, metric.text(baseline),
                    metric.text(enlarged), growth == null ? "-" : growth.text(baseline, added, metric.decimals),
                    growth == null ? "-" : allowed ? "yes" : "no", singleDays(BASELINE_CACHES, metric) + "; "
                            + singleDays(BASELINE_CACHES * CACHE_FACTOR, metric)));
        }
        lines.add("lost,requests,-,-,at most 0," + (lost == 0 ? "yes" : "no") + "," + lost + " in all");
        lines.forEach(System.out::println);
        System.out.println("prove-cache-count: caches=" + BASELINE_CACHES + "," + BASELINE_CACHES * CACHE_FACTOR
                + " lost=" + lost + " holds="
                + passed);
        if (!TRIAL) {
            Files.write(CapacityTables.FIGURES.resolve("cache-count.csv"), lines);
            Files.writeString(PAGE, new CapacityTables(CapacityTables.readAll()).render(Files.readString(PAGE)));
        }
        return passed;
    }

    private double mean(int caches, Metric metric) {
        return days.get(caches).stream().mapToDouble(day -> day.get(metric)).average().orElseThrow();
    }

    private String singleDays(int caches, Metric metric) {
        return days.get(caches).stream().map(day -> metric.text(day.get(metric))).collect(Collectors.joining(" "));
    }
}
