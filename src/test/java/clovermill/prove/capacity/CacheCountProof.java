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
 * What the number of caches costs a director ({@code make prove-cache-count}): a real process by the deploy file's
 * {@code run} line plays the same day with the usual number of caches and with sixteen times as many, in turn. Its
 * traffic, its limits and the capacity of all caches together are the same, and the same share of the caches is
 * replaced. Writes {@code docs/capacity/cache-count.csv} and the table of its page.
 */
public final class CacheCountProof {

    /** The page that shows the figures. */
    static final Path PAGE = Path.of("docs", "design", "cache-count.md");

    private static final int USUAL = Integer.getInteger("caches", 20);
    private static final int TIMES = 16;
    private static final int PAIRS = Integer.getInteger("pairs", 2);
    private static final long DAY_MS = 1000 * Long.getLong("day", 27);
    private static final long WARM_MS = 3_000;
    private static final boolean TRIAL = Boolean.getBoolean("trial");
    /** Requests at once that a cache of the larger fleet has room for; one of the smaller fleet takes 16 times that. */
    private static final int ROOM = 6;
    private static final int DIRECTORS = 10;
    private static final int REQUESTS_PER_SECOND = 60;
    private static final int KB = 4;
    /** Some objects are asked for much more often than others. */
    private static final int POPULARITY = 4;
    private static final long SEED = 7;
    /** So often in a day a twentieth of the caches is replaced. */
    private static final int REPLACEMENTS = 5;
    private static final int REPLACED_PART = 20;
    private static final long SAMPLE_MS = 50;
    private static final long DRAIN_MS = 4_000;
    /** Places of two counts in the kernel's line on a process, from behind its name on. */
    private static final int USER_TICKS = 11;
    private static final int SYSTEM_TICKS = 12;
    private static final double TICKS_PER_SECOND = 100;
    private static final double KIB = 1024;

    /** What is compared: its name, unit, decimals and bound; null where there is none. */
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

    /** Properties: caches, pairs (of days), day (seconds), trial (writes nothing). */
    public static void main(String[] arguments) throws Exception {
        CacheCountProof proof = new CacheCountProof();
        for (int pair = 0; pair < PAIRS; pair++) {
            for (int caches : List.of(USUAL, USUAL * TIMES)) {
                Map<Metric, Double> day = proof.play(caches, SEED + pair);
                proof.days.computeIfAbsent(caches, key -> new ArrayList<>()).add(day);
                System.out.println(caches + " " + day);
            }
        }
        System.exit(proof.report() ? 0 : 1);
    }

    // ---- One day ----------------------------------------------------------------------------------

    private Map<Metric, Double> play(int caches, long seed) throws Exception {
        Path root = Files.createTempDirectory("prove-cache-count");
        List<DirectorProcess> started = new ArrayList<>();
        try (CountedCaches fleet = new CountedCaches(caches, ROOM * USUAL * TIMES / caches)) {
            Path file = DirectorProcess.configuration(root, fleet.channel(), 0, DIRECTORS);
            DirectorProcess director = DirectorProcess.deployed(root, 0, file);
            started.add(director);
            director.awaitReady();
            return day(fleet, director, caches, seed);
        } finally {
            DirectorProcess.stopAll(started, root);
        }
    }

    private Map<Metric, Double> day(CountedCaches fleet, DirectorProcess director, int caches, long seed)
            throws Exception {
        long pid = director.process.pid();
        LoadGenerator load = new LoadGenerator(director.port, REQUESTS_PER_SECOND, seed, KB, POPULARITY);
        int descriptors = mostDescriptors(pid, WARM_MS);
        double cpuBefore = cpuSeconds(pid);
        long listBefore = fleet.listBytes();
        for (int i = 0; i <= REPLACEMENTS; i++) {
            descriptors = Math.max(descriptors, mostDescriptors(pid, DAY_MS / (REPLACEMENTS + 1)));
            if (i < REPLACEMENTS) {
                fleet.replace(caches / REPLACED_PART);
            }
        }
        Map<Metric, Double> day = new LinkedHashMap<>();
        day.put(Metric.CPU, cpuSeconds(pid) - cpuBefore);
        day.put(Metric.MEMORY, ProcessUsage.kilobytes(pid, "VmHWM") / KIB);
        day.put(Metric.DESCRIPTORS, (double) descriptors);
        day.put(Metric.CONNECTIONS, (double) fleet.connections());
        day.put(Metric.LIST, (fleet.listBytes() - listBefore) / KIB);
        load.drain(DRAIN_MS);
        load.close();
        lost += load.requests - load.responses;
        day.put(Metric.SERVED, (double) load.served / load.requests);
        day.put(Metric.LATENCY_P99, load.latencyUs.getValueAtPercentile(99) / 1000.0);
        return day;
    }

    /** Processor time of a process so far, in user and system mode, threads that have ended among them. */
    private static double cpuSeconds(long pid) throws IOException {
        String line = Files.readString(Path.of("/proc", "" + pid, "stat"));
        String[] cells = line.substring(line.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(cells[USER_TICKS]) + Long.parseLong(cells[SYSTEM_TICKS])) / TICKS_PER_SECOND;
    }

    /** The most descriptors that a process is seen with in so long a time. */
    private static int mostDescriptors(long pid, long forMs) throws Exception {
        int most = 0;
        long untilNs = System.nanoTime() + forMs * 1_000_000;
        while (System.nanoTime() < untilNs) {
            try (Stream<Path> open = Files.list(Path.of("/proc", "" + pid, "fd"))) {
                most = Math.max(most, (int) open.count());
            }
            Thread.sleep(SAMPLE_MS);
        }
        return most;
    }

    // ---- Report -----------------------------------------------------------------------------------

    private boolean report() throws IOException, InterruptedException {
        int added = USUAL * (TIMES - 1);
        FigureFile facts = new FigureFile("cache-count.csv");
        RunFacts.describe(facts, "make prove-cache-count: " + PAIRS + " days of " + DAY_MS / 1000 + " s with "
                + USUAL + " and " + USUAL * TIMES + " caches in turn after " + WARM_MS / 1000 + " s of warm-up; "
                + REQUESTS_PER_SECOND + " requests a second; means");
        List<String> lines = new ArrayList<>();
        facts.comments().forEach(comment -> lines.add("# " + comment));
        lines.add("kind,unit," + USUAL + " caches," + USUAL * TIMES + " caches,allowed,holds,single days");
        boolean holds = lost == 0;
        for (Metric metric : Metric.values()) {
            double usual = mean(USUAL, metric);
            double many = mean(USUAL * TIMES, metric);
            AllowedGrowth growth = metric.growth;
            boolean allowed = growth == null || growth.allows(usual, many, added);
            holds &= allowed;
            lines.add(String.join(",", metric.name().toLowerCase(Locale.ROOT), metric.unit, metric.text(usual),
                    metric.text(many), growth == null ? "-" : growth.text(usual, added, metric.decimals),
                    growth == null ? "-" : allowed ? "yes" : "no", single(USUAL, metric) + "; "
                            + single(USUAL * TIMES, metric)));
        }
        lines.add("lost,requests,-,-,at most 0," + (lost == 0 ? "yes" : "no") + "," + lost + " in all");
        lines.forEach(System.out::println);
        System.out.println("prove-cache-count: caches=" + USUAL + "," + USUAL * TIMES + " lost=" + lost + " holds="
                + holds);
        if (!TRIAL) {
            Files.write(CapacityTables.FIGURES.resolve("cache-count.csv"), lines);
            Files.writeString(PAGE, new CapacityTables(CapacityTables.readAll()).render(Files.readString(PAGE)));
        }
        return holds;
    }

    private double mean(int caches, Metric metric) {
        return days.get(caches).stream().mapToDouble(day -> day.get(metric)).average().orElseThrow();
    }

    private String single(int caches, Metric metric) {
        return days.get(caches).stream().map(day -> metric.text(day.get(metric))).collect(Collectors.joining(" "));
    }
}
