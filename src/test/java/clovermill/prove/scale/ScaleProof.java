package clovermill.prove.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.stream.Collectors;

/**
 * The scale run ({@code make prove-scale}): real and hollow directors at several sizes, events at several rates, and
 * straight lines fitted to their costs. Writes rows to {@code docs/capacity/scale.csv} and fits to {@code
 * scale-fit.csv}; the last line of the output compares the figures at 540 directors with their limits.
 */
public final class ScaleProof {

    private static final int TARGET = 540;
    private static final int REAL = 12;
    private static final int LOADED = 4;
    private static final int TWINS = 2;
    private static final int PER_PROCESS = 45;
    private static final double LOSS = 0.01;
    private static final String RATES = "0,9.1,36";
    private static final long SETTLE_MS = 5_000;
    private static final long PARTITION_MS = 8_000;
    private static final int CHANGES = 3;
    /** The target rate of events a second. */
    private static final String TARGET_RATE = "9.1";
    private static final double MAX_KB = 9;
    private static final double MAX_CPU_PCT = 4.2;
    private static final double MAX_MB = 32;
    private static final double MAX_EVENT_S = 7.1;
    private static final double MAX_CHANGE_S = 3;
    /** Metrics that are fitted over sizes and predicted at the size left out. */
    private static final List<String> FITTED = List.of("datagrams_out", "datagrams_in", "bytes_out", "bytes_in",
            "cpu_pct", "cpu_thread_pct", "heap_kb", "resident_kb", "event_p99_s");
    /** Metrics of which the worst prediction error is reported. */
    private static final List<String> PREDICTED = List.of("datagrams_out", "bytes_out", "bytes_in", "cpu_pct");
    private static final List<String> KINDS = List.of(Figures.HOLLOW, Figures.REAL, Figures.VOTER);

    private ScaleProof() {}

    /**
     * Properties: sizes (empty: only fits and result, from the existing rows), rates, seconds, real, seed, folder,
     * revision (for classes built earlier), changes-only (measures policy changes again and keeps the other rows).
     */
    public static void main(String[] args) throws Exception {
        List<Integer> sizes = numbers(System.getProperty("sizes", "60,180,540"));
        Path folder = Path.of(System.getProperty("folder", "docs/capacity"));
        Path rows = folder.resolve("scale.csv");
        ResultTable table = ResultTable.read(rows);
        TickProbe probe = new TickProbe();
        probe.start();
        for (int size : sizes) {
            boolean only = Boolean.getBoolean("changes-only");
            table.remove(size, kind -> !only || kind.equals(ScaleRun.CHANGE));
            measure(size, only, table, probe);
            comment(table);
            table.comment("size " + size + (only ? "; changes" : ""), "-Dsizes=" + size + " -Drates="
                    + System.getProperty("rates", RATES) + " -Dseconds=" + seconds() + "; at " + revision() + " on "
                    + LocalDate.now());
            table.write(rows);
        }
        writeFits(table, folder.resolve("scale-fit.csv"));
        String line = resultLine(table);
        System.out.println(line);
        System.exit(line.endsWith("holds=true") ? 0 : 1);
    }

    private static void measure(int size, boolean changesOnly, ResultTable table, TickProbe probe) throws Exception {
        long seed = Long.getLong("seed", 7);
        int real = Integer.getInteger("real", REAL);
        Cluster.Shape shape = real == 0 ? new Cluster.Shape(size, 0, 0, 0, PER_PROCESS, LOSS, 1)
                : new Cluster.Shape(size, real, LOADED, TWINS, PER_PROCESS, LOSS, 1);
        long measureMs = seconds() * 1000L;
        List<Double> rates = changesOnly ? List.of() : Arrays.stream(System.getProperty("rates", RATES)
                .split(",")).map(Double::valueOf).toList();
        long partitionMs = changesOnly ? 0 : PARTITION_MS;
        try (Cluster cluster = new Cluster(shape, seed)) {
            ScaleRun.Schedule schedule = new ScaleRun.Schedule(rates, SETTLE_MS, measureMs, partitionMs, CHANGES, true);
            new ScaleRun(cluster, schedule, table, probe, seed).run();
        }
    }

    private static int seconds() {
        return Integer.getInteger("seconds", 15);
    }

    private static List<Integer> numbers(String list) {
        return Arrays.stream(list.split(",")).filter(each -> !each.isBlank()).map(Integer::valueOf).toList();
    }

    private static void comment(ResultTable table) throws IOException {
        Runtime machine = Runtime.getRuntime();
        long memoryGb = ((com.sun.management.OperatingSystemMXBean) java.lang.management.ManagementFactory
                .getOperatingSystemMXBean()).getTotalMemorySize() >> 30;
        table.comment("command", "make prove-scale PROVE=\"OPTIONS\" with the options of each size; a size at a time");
        table.comment("revision", revision());
        table.comment("machine", machine.availableProcessors() + " cores; " + memoryGb + " GB; Java "
                + Runtime.version() + "; SerialGC and C1 as in deploy/balancer.toml");
        table.comment("date", LocalDate.now().toString());
    }

    private static String revision() throws IOException {
        if (System.getProperty("revision") != null) {
            return System.getProperty("revision");
        }
        Process git = new ProcessBuilder("git", "describe", "--always", "--dirty=+changes").start();
        try (BufferedReader out = new BufferedReader(new InputStreamReader(git.getInputStream(),
                StandardCharsets.UTF_8))) {
            String line = out.readLine();
            return line == null ? "unknown" : line;
        }
    }

    // ---- Fits -------------------------------------------------------------------------------------

    private static void writeFits(ResultTable table, Path file) throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add("# command: make prove-scale PROVE=-Dsizes= (from the rows of scale.csv)");
        lines.add("# over size: least squares through all sizes up to " + TARGET + "; predicted: the line through the "
                + "sizes below " + TARGET + " alone, at " + TARGET);
        lines.add("kind,over,at,metric,intercept,slope,residual_most,points,predicted,measured,error");
        for (String kind : KINDS) {
            for (String metric : FITTED) {
                for (String rate : rates(table)) {
                    overSize(table, kind, metric, rate, lines);
                }
                for (int size : sizes(table)) {
                    overRate(table, kind, metric, size, lines);
                }
            }
        }
        java.nio.file.Files.write(file, lines);
    }

    private static void overSize(ResultTable table, String kind, String metric, String rate, List<String> lines) {
        List<Integer> measuredSizes = sizes(table).stream().filter(size -> size <= TARGET
                && table.value(kind, size, rate, metric).isPresent()).toList();
        if (measuredSizes.size() < 2) {
            return;
        }
        LinearFit all = bySize(table, kind, metric, rate, measuredSizes);
        OptionalDouble measured = table.value(kind, TARGET, rate, metric);
        LinearFit below = below(table, kind, metric, rate);
        boolean predicts = below != null && measured.isPresent();
        lines.add(String.join(",", kind, "size", rate, metric, ResultTable.number(all.intercept()),
                ResultTable.number(all.slope()), ResultTable.number(all.maxResidual()), "" + measuredSizes.size(),
                below == null ? "" : ResultTable.number(below.at(TARGET)),
                predicts ? ResultTable.number(measured.getAsDouble()) : "",
                predicts ? ResultTable.number(below.error(TARGET, measured.getAsDouble())) : ""));
    }

    /** Returns the line through the sizes below the target, or null if there are fewer than two. */
    private static LinearFit below(ResultTable table, String kind, String metric, String rate) {
        List<Integer> measuredSizes = sizes(table).stream().filter(size -> size < TARGET
                && table.value(kind, size, rate, metric).isPresent()).toList();
        return measuredSizes.size() < 2 ? null : bySize(table, kind, metric, rate, measuredSizes);
    }

    private static LinearFit bySize(ResultTable table, String kind, String metric, String rate, List<Integer> sizes) {
        return LinearFit.of(sizes.stream().mapToDouble(size -> size).toArray(),
                sizes.stream().mapToDouble(size -> table.value(kind, size, rate, metric).getAsDouble()).toArray());
    }

    private static void overRate(ResultTable table, String kind, String metric, int size, List<String> lines) {
        List<String> measuredRates =
                rates(table).stream().filter(rate -> table.value(kind, size, rate, metric).isPresent())
                        .toList();
        if (measuredRates.size() < 2) {
            return;
        }
        LinearFit fit = LinearFit.of(measuredRates.stream().mapToDouble(Double::parseDouble).toArray(),
                measuredRates.stream().mapToDouble(rate -> table.value(kind, size, rate, metric).getAsDouble())
                        .toArray());
        lines.add(String.join(",", kind, "rate", "" + size, metric, ResultTable.number(fit.intercept()),
                ResultTable.number(fit.slope()), ResultTable.number(fit.maxResidual()), "" + measuredRates.size(), "",
                "",
                ""));
    }

    private static List<Integer> sizes(ResultTable table) {
        return table.rows().stream().map(ResultTable.Row::size).distinct().sorted().toList();
    }

    private static List<String> rates(ResultTable table) {
        return table.rows().stream().map(ResultTable.Row::rate).distinct().sorted(java.util.Comparator
                .comparingDouble(Double::parseDouble)).toList();
    }

    // ---- Result ------------------------------------------------------------------------------------

    private static String resultLine(ResultTable table) {
        double out = worseOf(table, "bytes_out") / 1000;
        double in = worseOf(table, "bytes_in") / 1000;
        double cpu = worseOf(table, "cpu_pct");
        double mb = worseOf(table, "resident_kb") / 1024;
        double p99 = worseOf(table, "event_p99_s");
        double worst = worseOf(table, "event_most_s");
        double change = Math.max(figure(table, "change", "0", "change_most_s"),
                figure(table, "change", "0", "change_one_stopped_s"));
        double lost = sum(table, "lost");
        double misordered = sum(table, "misordered");
        double error = predictionError(table);
        boolean passed = out <= MAX_KB && in <= MAX_KB && cpu <= MAX_CPU_PCT && mb <= MAX_MB
                && worst <= MAX_EVENT_S && change <= MAX_CHANGE_S && lost == 0 && misordered == 0;
        return "prove-scale: sizes=" + sizes(table).stream().map(size -> "" + size).collect(Collectors.joining(","))
                + " kb_out=" + text(out) + " kb_in=" + text(in) + " cpu_pct=" + text(cpu) + " mem_mb=" + text(mb)
                + " purge_p99_s=" + text(p99) + " purge_most_s=" + text(worst) + " change_most_s=" + text(change)
                + " lost=" + text(lost) + " misordered=" + text(misordered) + " predicted540_error=" + text(error)
                + " holds=" + passed;
    }

    /** Returns the larger value of hollow and real directors at the target, or NaN if either is missing. */
    private static double worseOf(ResultTable table, String metric) {
        return Math.max(figure(table, Figures.HOLLOW, TARGET_RATE, metric),
                figure(table, Figures.REAL, TARGET_RATE, metric));
    }

    private static double sum(ResultTable table, String metric) {
        return figure(table, Figures.HOLLOW, TARGET_RATE, metric) + figure(table, Figures.REAL, TARGET_RATE, metric);
    }

    private static double figure(ResultTable table, String kind, String rate, String metric) {
        return table.value(kind, TARGET, rate, metric).orElse(Double.NaN);
    }

    private static double predictionError(ResultTable table) {
        double worst = 0;
        for (String metric : PREDICTED) {
            LinearFit below = below(table, Figures.HOLLOW, metric, TARGET_RATE);
            double measured = figure(table, Figures.HOLLOW, TARGET_RATE, metric);
            worst = Math.max(worst, below == null ? Double.NaN : below.error(TARGET, measured));
        }
        return worst;
    }

    private static String text(double value) {
        return Double.isNaN(value) ? "none" : value == Math.rint(value) ? "" + (long) value
                : String.format(Locale.ROOT, "%.2f", value);
    }
}
