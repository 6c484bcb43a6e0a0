package clovermill.prove.capacity;

import clovermill.prove.DirectorProcess;
import clovermill.prove.FakeUpstreams;
import clovermill.prove.LoadGenerator;
import clovermill.prove.capacity.LineFit.Point;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Measures the cost of a request and of a kilobyte in a real director ({@code make prove-request-path}): processes
 * started with the {@code run} line of the deploy file, between stand-in clients and stand-in caches on loopback. The
 * windows of all loads alternate; the figure of a load is the median of its windows. A window on an overloaded machine
 * is void, decided by criteria that are independent of the figure itself.
 */
public final class RequestPathProof {

    /** One load on a director: requests a second and the size of their bodies. */
    private record LoadSetting(String kind, int perSecond, int bytes) {}

    /** The measurements of a window; {@code voidReason} is null unless it is void. */
    private record Window(double cpuShare, double perSecond, double kbPerSecond, double p99Us, double waitedShare,
            double runsPerSecond, double idle, double stolen, double lateMs, long residentKb, String voidReason) {}

    private static final String FEW_LOCAL = "location";
    private static final String ALL_LOCAL = "all-caches";
    private static final int LOCAL_CACHES = 4;
    private static final int ALL_CACHES = 170;
    private static final int SOCKETS = 1024;
    private static final int STEP_BYTES = 4;
    private static final int MIN_BYTES = 200;
    private static final int MAX_BYTES = 240_000;
    /** Short, as other guests of the host occasionally take cores for a second, which makes a window void. */
    private static final long WINDOW_MS = Long.getLong("window", 800);
    private static final long SETTLE_MS = 200;
    private static final long BUDGET_MS = 1000 * Long.getLong("seconds", 150);
    private static final int MIN_WINDOWS = 5;
    private static final long WARMUP_MS = 6_000;
    private static final double NS = 1e9;

    /**
     * A window is void if less of the machine was idle, more of it was stolen by its host, or a timer of this process
     * was later. The time for which the director's threads waited for a core is recorded but voids nothing: on an idle
     * machine it is the wake-up time of sleeping cores, a quarter of the running time at some hundred requests a
     * second.
     */
    private static final double MIN_IDLE = 0.7;
    private static final double MAX_STOLEN = 0.02;
    private static final double MAX_LATE_MS = 10;
    /** Minimum share of the planned requests answered; below it, clients or director could not keep up. */
    private static final double MIN_ANSWERED = 0.98;

    private static final List<Integer> RATES = List.of(0, 574, 1148, 2296, 4592, 9184);
    private static final List<Integer> SIZES = List.of(MIN_BYTES, 16_200, 64_200, 128_200, 240_000);
    private static final int SIZE_RATE = 300;
    /** Minimum number of points for a line, so that three remain when one is left out. */
    private static final int MIN_POINTS = 4;

    private final Path root = Files.createTempDirectory("prove-request-path");
    private final Map<LoadSetting, List<Window>> windows = new LinkedHashMap<>();
    private final Map<String, DirectorProcess> directors = new LinkedHashMap<>();
    private int seed;

    private RequestPathProof() throws IOException {}

    /** Properties: window (milliseconds), seconds (total for all windows). */
    public static void main(String[] arguments) throws Exception {
        RequestPathProof proof = new RequestPathProof();
        try (FakeUpstreams members = new FakeUpstreams(RequestPathProof::partBytes)) {
            proof.directors.put(FEW_LOCAL, proof.start(0, members, LOCAL_CACHES));
            proof.directors.put(ALL_LOCAL, proof.start(1, members, ALL_CACHES));
            proof.runAllLoads();
        } finally {
            DirectorProcess.stopAll(List.copyOf(proof.directors.values()), proof.root);
        }
        boolean passed = proof.report();
        System.exit(passed ? 0 : 1);
    }

    /** Returns the size of an object's parts at the stand-ins, encoded in its first four hexadecimal digits. */
    private static int partBytes(String object) {
        return Math.min(MAX_BYTES, MIN_BYTES + STEP_BYTES * Integer.parseInt(object.substring(0, 4), 16));
    }

    private static String prefix(int bytes) {
        return String.format("%04x", (bytes - MIN_BYTES) / STEP_BYTES);
    }

    // ---- Directors --------------------------------------------------------------------------------

    /** Starts a director with the deploy file's line; {@code local} of all caches are in its location. */
    private DirectorProcess start(int number, FakeUpstreams members, int local) throws Exception {
        Path file = DirectorProcess.configuration(root, Map.entry(members.address(), memberList(members, local)),
                number, 1);
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode config = (ObjectNode) mapper.readTree(Files.readString(file));
        ((ObjectNode) config.get("limits")).put("sockets", SOCKETS);
        Files.writeString(file, mapper.writeValueAsString(config));
        return DirectorProcess.deployed(root, number, file);
    }

    private static String memberList(FakeUpstreams members, int local) {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < ALL_CACHES; i++) {
            all.append(entry(members, "s-" + i, i < local ? "edge" : "north", "std", 6)).append(',');
        }
        all.append(entry(members, "p-1", "north", "parent", 20)).append(',');
        all.append(entry(members, "o-1", "north", "origin", 1));
        return "{\"cursor\":1,\"cmds\":[{\"cursor\":1,\"nodes\":{\"version\":1,\"full\":true,\"servers\":[" + all
                + "]}}]}";
    }

    private static String entry(FakeUpstreams members, String id, String zone, String kind, int weight) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + members.address() + "\",\"zone\":\"" + zone + "\",\"kind\":\""
                + kind + "\",\"cell\":1,\"state\":\"ready\",\"weight\":" + weight + ",\"started_ms\":0}";
    }

    // ---- Windows ----------------------------------------------------------------------------------

    private void runAllLoads() throws Exception {
        for (DirectorProcess director : directors.values()) {
            director.awaitReady();
        }
        for (Map.Entry<String, DirectorProcess> each : directors.entrySet()) {
            LoadGenerator warmup =
                    new LoadGenerator(each.getValue().port, RATES.get(3), ++seed, 1, 1, prefix(MIN_BYTES));
            Thread.sleep(WARMUP_MS);
            warmup.drain(2_000);
            warmup.close();
        }
        List<LoadSetting> settings = new ArrayList<>();
        RATES.forEach(rate -> settings.add(new LoadSetting("rate", rate, MIN_BYTES)));
        SIZES.forEach(size -> settings.add(new LoadSetting("size", SIZE_RATE, size)));
        settings.add(new LoadSetting("target", 574, MAX_BYTES));
        settings.add(new LoadSetting("target", 1042, MAX_BYTES));
        settings.add(new LoadSetting(ALL_LOCAL, RATES.get(2), MIN_BYTES));
        settings.forEach(setting -> windows.put(setting, new ArrayList<>()));
        long untilNs = System.nanoTime() + BUDGET_MS * 1_000_000;
        while (System.nanoTime() < untilNs) {
            for (LoadSetting setting : settings) {
                windows.get(setting).add(measureWindow(setting));
            }
        }
    }

    private Window measureWindow(LoadSetting setting) throws Exception {
        DirectorProcess director = directors.get(setting.kind.equals(ALL_LOCAL) ? ALL_LOCAL : FEW_LOCAL);
        long pid = director.process.pid();
        LoadGenerator load = setting.perSecond == 0 ? null : new LoadGenerator(director.port, setting.perSecond, ++seed,
                Math.max(1, setting.bytes / 1000), 1, prefix(setting.bytes));
        Thread.sleep(SETTLE_MS);
        MachineUsage machine = MachineUsage.now();
        ProcessUsage before = ProcessUsage.of(pid);
        long answered = load == null ? 0 : load.responses;
        long bytes = load == null ? 0 : load.bodyBytes;
        long fromNs = System.nanoTime();
        double lateMs = TimerLateness.maxLatenessMs(WINDOW_MS);
        double spentS = (System.nanoTime() - fromNs) / NS;
        ProcessUsage used = ProcessUsage.of(pid).since(before);
        MachineUsage after = MachineUsage.now();
        answered = load == null ? 0 : load.responses - answered;
        bytes = load == null ? 0 : load.bodyBytes - bytes;
        long resident = ProcessUsage.kilobytes(pid, "VmRSS");
        double p99 = 0;
        if (load != null) {
            load.drain(2_000);
            load.close();
            p99 = load.latencyUs.getValueAtPercentile(99);
        }
        double waited = (double) used.waitedNs() / used.cpuNs();
        double idle = after.idleShare(machine);
        double stolen = after.stolenShare(machine);
        double perSecond = answered / spentS;
        String voidReason = perSecond < MIN_ANSWERED * setting.perSecond ? "not answered in time"
                : load != null && load.served < MIN_ANSWERED * load.responses ? "refused"
                : idle < MIN_IDLE ? "machine busy"
                : stolen > MAX_STOLEN ? "cores taken by the host"
                : lateMs > MAX_LATE_MS ? "timers came late" : null;
        Window window = new Window(used.cpuNs() / NS / spentS, perSecond, bytes / 1000.0 / spentS, p99, waited,
                used.runs() / spentS, idle, stolen, lateMs, resident, voidReason);
        System.out.println(setting + " " + window);
        return window;
    }

    // ---- Results ----------------------------------------------------------------------------------

    private boolean report() throws Exception {
        FigureFile file = new FigureFile("request-path.csv");
        RunEnvironment.describe(file, "make prove-request-path: windows of " + WINDOW_MS + " ms in turn for "
                + BUDGET_MS / 1000 + " s and the median of those that are not void");
        Map<LoadSetting, Window> medians = new LinkedHashMap<>();
        windows.forEach((setting, all) -> addRows(file, setting, all, medians));
        List<Point> rates = points(medians, "rate", true);
        List<Point> sizes = points(medians, "size", false);
        boolean passed = rates.size() >= MIN_POINTS && sizes.size() >= MIN_POINTS;
        if (passed) {
            fit(file, "request", rates, "us a request");
            fit(file, "kilobyte", sizes, "us a kB");
        }
        file.write(CapacityTables.FIGURES.resolve("request-path.csv"));
        System.out.println("prove-request-path: rates=" + rates.size() + " sizes=" + sizes.size() + " holds=" + passed);
        return passed;
    }

    private void addRows(FigureFile file, LoadSetting setting, List<Window> all, Map<LoadSetting, Window> medians) {
        List<Window> valid = all.stream().filter(window -> window.voidReason == null)
                .sorted(Comparator.comparingDouble(Window::cpuShare)).toList();
        String voidReasons = all.stream().filter(window -> window.voidReason != null).map(Window::voidReason).distinct()
                .reduce((one, other) -> one + " or " + other).orElse("");
        String note = valid.size() + " of " + all.size() + " windows"
                + (voidReasons.isEmpty() ? "" : "; void: " + voidReasons);
        if (valid.size() < MIN_WINDOWS) {
            file.add(new Figure(setting.kind, "" + setting.bytes, "" + setting.perSecond, "cpu", "void", "% of a core",
                    note));
            return;
        }
        Window median = valid.get(valid.size() / 2);
        medians.put(setting, median);
        double spread = valid.get(valid.size() - 1).cpuShare - valid.get(0).cpuShare;
        add(file, setting, "cpu", 100 * median.cpuShare, 2, "% of a core", note);
        if (setting.perSecond > 0) {
            add(file, setting, "each", 1e6 * median.cpuShare / median.perSecond, 1, "us a request", "");
        }
        add(file, setting, "spread", 100 * spread, 2, "% of a core", "");
        add(file, setting, "answered", median.perSecond, 0, "1/s", "");
        add(file, setting, "relayed", median.kbPerSecond, 0, "kB/s", "");
        add(file, setting, "p99", median.p99Us / 1000, 1, "ms", "");
        add(file, setting, "resident", median.residentKb / 1024.0, 1, "MB", "");
        add(file, setting, "runs", median.runsPerSecond, 0, "1/s", "");
        add(file, setting, "waited", 100 * median.waitedShare, 1, "% of its time", "");
        add(file, setting, "idle", 100 * median.idle, 0, "% of the machine", "");
    }

    private static void add(FigureFile file, LoadSetting setting, String metric, double value, int decimals,
            String unit,
            String note) {
        file.add(setting.kind, setting.bytes, setting.perSecond, metric, value, decimals, unit, note);
    }

    /** Returns points of CPU time per second over request rate, or of CPU time per request over kilobytes. */
    private static List<Point> points(Map<LoadSetting, Window> medians, String kind, boolean byRate) {
        List<Point> points = new ArrayList<>();
        medians.forEach((setting, window) -> {
            if (setting.kind.equals(kind)) {
                double us = window.cpuShare * 1e6;
                points.add(byRate ? new Point(window.perSecond, us)
                        : new Point(window.kbPerSecond / window.perSecond, us / window.perSecond));
            }
        });
        return points;
    }

    /** Adds the line through all points, its residuals, and predictions of the last two points from the others. */
    private static void fit(FigureFile file, String name, List<Point> points, String unit) {
        LineFit all = LineFit.of(points);
        int last = points.size() - 1;
        file.add("slope", "", "", name, all.slope(), 3, unit, points.size() + " points");
        file.add("slope", "", "", name + "_intercept", all.intercept(), 1, "us", "");
        file.add("slope", "", "", name + "_left_out_middle", 100 * LineFit.leftOutError(points, last - 1), 1, "%",
                "the largest but one predicted from the others");
        file.add("slope", "", "", name + "_left_out_largest", 100 * LineFit.leftOutError(points, last), 1, "%",
                "the largest predicted from the others");
        for (Point point : points) {
            file.add(name + "-residual", String.format(Locale.ROOT, "%.1f", point.x()), "", "residual",
                    100 * all.residual(point) / point.y(), 1, "%", "");
        }
    }
}
