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
 * What a request and a kilobyte cost a real director ({@code make prove-request-path}): processes started by the deploy
 * file's {@code run} line between stand-in clients and stand-in caches on loopback. Each load is played in windows that
 * take turns with those of all others; the figure is the median of its windows. A window on a machine that is too busy
 * is void, by signs that do not look at the figure itself.
 */
public final class RequestPathProof {

    /** One load: requests a second of bodies of so many bytes, at one of the directors. */
    private record Setting(String kind, int perSecond, int bytes) {}

    /** What a window has shown; {@code fault} says why it is void, or is null. */
    private record Window(double cpuShare, double perSecond, double kbPerSecond, double p99Us, double waitedShare,
            double runsPerSecond, double idle, double stolen, double lateMs, long residentKb, String fault) {}

    private static final String FEW = "location";
    private static final String MANY = "all-caches";
    private static final int LOCAL_CACHES = 4;
    private static final int ALL_CACHES = 170;
    private static final int SOCKETS = 1024;
    private static final int STEP_BYTES = 4;
    private static final int SMALLEST_BYTES = 200;
    private static final int LARGEST_BYTES = 240_000;
    /** Short, as other guests of the host take cores away for a second now and then: what meets that is void. */
    private static final long WINDOW_MS = Long.getLong("window", 800);
    private static final long SETTLE_MS = 200;
    private static final long BUDGET_MS = 1000 * Long.getLong("seconds", 150);
    private static final int LEAST_WINDOWS = 5;
    private static final long WARM_MS = 6_000;
    private static final double NS = 1e9;

    /**
     * A window is void where less of the machine was idle, more of it taken by its host, or a timer of this process
     * came later. How long the director's threads waited for a core is told, but voids nothing: on an idle machine that
     * is the time in which a sleeping core wakes up, a quarter of the time they run at some hundred requests a second.
     */
    private static final double LEAST_IDLE = 0.7;
    private static final double MOST_STOLEN = 0.02;
    private static final double MOST_LATE_MS = 10;
    /** Less than this share of the planned requests answered: clients or director could not keep up. */
    private static final double LEAST_ANSWERED = 0.98;

    private static final List<Integer> RATES = List.of(0, 574, 1148, 2296, 4592, 9184);
    private static final List<Integer> SIZES = List.of(SMALLEST_BYTES, 16_200, 64_200, 128_200, 240_000);
    private static final int SIZE_RATE = 300;
    /** Points that a line is drawn through, so that three are left where one is left out. */
    private static final int LEAST_POINTS = 4;

    private final Path root = Files.createTempDirectory("prove-request-path");
    private final Map<Setting, List<Window>> windows = new LinkedHashMap<>();
    private final Map<String, DirectorProcess> directors = new LinkedHashMap<>();
    private int seed;

    private RequestPathProof() throws IOException {}

    /** Properties: window (milliseconds), seconds (for all windows). */
    public static void main(String[] arguments) throws Exception {
        RequestPathProof proof = new RequestPathProof();
        try (FakeUpstreams members = new FakeUpstreams(RequestPathProof::bytes)) {
            proof.directors.put(FEW, proof.start(0, members, LOCAL_CACHES));
            proof.directors.put(MANY, proof.start(1, members, ALL_CACHES));
            proof.play();
        } finally {
            DirectorProcess.stopAll(List.copyOf(proof.directors.values()), proof.root);
        }
        boolean holds = proof.report();
        System.exit(holds ? 0 : 1);
    }

    /** The size of an object's parts at the stand-ins, by its first four digits. */
    private static int bytes(String object) {
        return Math.min(LARGEST_BYTES, SMALLEST_BYTES + STEP_BYTES * Integer.parseInt(object.substring(0, 4), 16));
    }

    private static String prefix(int bytes) {
        return String.format("%04x", (bytes - SMALLEST_BYTES) / STEP_BYTES);
    }

    // ---- Directors --------------------------------------------------------------------------------

    /** Starts a director by the deploy file's line; so many of all caches are in its location. */
    private DirectorProcess start(int number, FakeUpstreams members, int local) throws Exception {
        Path file = DirectorProcess.configuration(root, Map.entry(members.address(), known(members, local)), number, 1);
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode config = (ObjectNode) mapper.readTree(Files.readString(file));
        ((ObjectNode) config.get("limits")).put("sockets", SOCKETS);
        Files.writeString(file, mapper.writeValueAsString(config));
        return DirectorProcess.deployed(root, number, file);
    }

    private static String known(FakeUpstreams members, int local) {
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

    private void play() throws Exception {
        for (DirectorProcess director : directors.values()) {
            director.awaitReady();
        }
        for (Map.Entry<String, DirectorProcess> each : directors.entrySet()) {
            LoadGenerator warm =
                    new LoadGenerator(each.getValue().port, RATES.get(3), ++seed, 1, 1, prefix(SMALLEST_BYTES));
            Thread.sleep(WARM_MS);
            warm.drain(2_000);
            warm.close();
        }
        List<Setting> settings = new ArrayList<>();
        RATES.forEach(rate -> settings.add(new Setting("rate", rate, SMALLEST_BYTES)));
        SIZES.forEach(size -> settings.add(new Setting("size", SIZE_RATE, size)));
        settings.add(new Setting("target", 574, LARGEST_BYTES));
        settings.add(new Setting("target", 1042, LARGEST_BYTES));
        settings.add(new Setting(MANY, RATES.get(2), SMALLEST_BYTES));
        settings.forEach(setting -> windows.put(setting, new ArrayList<>()));
        long untilNs = System.nanoTime() + BUDGET_MS * 1_000_000;
        while (System.nanoTime() < untilNs) {
            for (Setting setting : settings) {
                windows.get(setting).add(window(setting));
            }
        }
    }

    private Window window(Setting setting) throws Exception {
        DirectorProcess director = directors.get(setting.kind.equals(MANY) ? MANY : FEW);
        long pid = director.process.pid();
        LoadGenerator load = setting.perSecond == 0 ? null : new LoadGenerator(director.port, setting.perSecond, ++seed,
                Math.max(1, setting.bytes / 1000), 1, prefix(setting.bytes));
        Thread.sleep(SETTLE_MS);
        MachineUsage machine = MachineUsage.now();
        ProcessUsage before = ProcessUsage.of(pid);
        long answered = load == null ? 0 : load.responses;
        long bytes = load == null ? 0 : load.bodyBytes;
        long fromNs = System.nanoTime();
        double lateMs = TickWatch.latestMs(WINDOW_MS);
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
        String fault = perSecond < LEAST_ANSWERED * setting.perSecond ? "not answered in time"
                : load != null && load.served < LEAST_ANSWERED * load.responses ? "refused"
                : idle < LEAST_IDLE ? "machine busy"
                : stolen > MOST_STOLEN ? "cores taken by the host"
                : lateMs > MOST_LATE_MS ? "timers came late" : null;
        Window window = new Window(used.cpuNs() / NS / spentS, perSecond, bytes / 1000.0 / spentS, p99, waited,
                used.runs() / spentS, idle, stolen, lateMs, resident, fault);
        System.out.println(setting + " " + window);
        return window;
    }

    // ---- Results ----------------------------------------------------------------------------------

    private boolean report() throws Exception {
        FigureFile file = new FigureFile("request-path.csv");
        RunFacts.describe(file, "make prove-request-path: windows of " + WINDOW_MS + " ms in turn for "
                + BUDGET_MS / 1000 + " s and the median of those that are not void");
        Map<Setting, Window> medians = new LinkedHashMap<>();
        windows.forEach((setting, all) -> row(file, setting, all, medians));
        List<Point> rates = points(medians, "rate", true);
        List<Point> sizes = points(medians, "size", false);
        boolean holds = rates.size() >= LEAST_POINTS && sizes.size() >= LEAST_POINTS;
        if (holds) {
            fit(file, "request", rates, "us a request");
            fit(file, "kilobyte", sizes, "us a kB");
        }
        file.write(CapacityTables.FIGURES.resolve("request-path.csv"));
        System.out.println("prove-request-path: rates=" + rates.size() + " sizes=" + sizes.size() + " holds=" + holds);
        return holds;
    }

    private void row(FigureFile file, Setting setting, List<Window> all, Map<Setting, Window> medians) {
        List<Window> good = all.stream().filter(window -> window.fault == null)
                .sorted(Comparator.comparingDouble(Window::cpuShare)).toList();
        String faults = all.stream().filter(window -> window.fault != null).map(Window::fault).distinct()
                .reduce((one, other) -> one + " or " + other).orElse("");
        String note = good.size() + " of " + all.size() + " windows" + (faults.isEmpty() ? "" : "; void: " + faults);
        if (good.size() < LEAST_WINDOWS) {
            file.add(new Figure(setting.kind, "" + setting.bytes, "" + setting.perSecond, "cpu", "void", "% of a core",
                    note));
            return;
        }
        Window median = good.get(good.size() / 2);
        medians.put(setting, median);
        double spread = good.get(good.size() - 1).cpuShare - good.get(0).cpuShare;
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

    private static void add(FigureFile file, Setting setting, String metric, double value, int decimals, String unit,
            String note) {
        file.add(setting.kind, setting.bytes, setting.perSecond, metric, value, decimals, unit, note);
    }

    /** Microseconds of processor time a second against requests a second, or a request against its kilobytes. */
    private static List<Point> points(Map<Setting, Window> medians, String kind, boolean byRate) {
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

    /** The line through all points, what each misses by, and each of the last two predicted from the others. */
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
