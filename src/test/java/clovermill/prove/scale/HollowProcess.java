package clovermill.prove.scale;

import clovermill.config.Config;
import clovermill.config.settings.LogSettings;
import clovermill.config.settings.SettingsFile;
import clovermill.config.settings.StructuredLog;
import clovermill.controlplane.policystore.PolicyView;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A process with many hollow directors. It reads commands from standard input, one a line, answers queries with a line
 * of JSON, and exits at the end of its input.
 *
 * <pre>
 * open                      starts all directors
 * put DIRECTOR EVENT        publishes an event at a director; no answer
 * events FROM TO            {@link Events} for a range of events
 * figures [collected]       {@link HollowFigures}, optionally after a garbage collection
 * policy DIRECTOR FOLLOWS TEXT   proposes a policy; answered once the leader has answered
 * </pre>
 */
final class HollowProcess implements HollowDirector.Observer {

    /** The start parameters of a process: the range of its directors and their files. */
    record Plan(int first, int count, String settingsPattern, String configuration, String log, long seed) {}

    /**
     * The answer to {@code events}.
     *
     * @param counts by event, the number of directors at which it is in force
     * @param lastMs by event, when it last took effect at a director, in Unix milliseconds
     * @param outOfOrder deliveries since the start that followed an event published later
     */
    record Events(int[] counts, long[] lastMs, long outOfOrder) {}

    /** The answer to {@code policy}. */
    record ProposalAnswer(String result, long version) {}

    static final String EVENT_PREFIX = "e-";
    /** The maximum clock offset of a director, in either direction. */
    private static final long MAX_CLOCK_OFFSET_US = 600_000_000L;

    private final Plan plan;
    private final ObjectMapper json = new ObjectMapper();
    private final PrintStream out = System.out;
    private final TickProbe probe = new TickProbe();
    private final List<HollowDirector> directors = new ArrayList<>();
    private final DeliveryLog deliveries;
    private final long[] versions;
    private final Map<Long, Integer> inForce = new HashMap<>();
    private final Map<Long, Long> inForceMs = new HashMap<>();
    private long residentBeforeKb;
    private long heapBeforeKb;

    private HollowProcess(Plan plan) {
        this.plan = plan;
        this.deliveries = new DeliveryLog(plan.count());
        this.versions = new long[plan.count()];
    }

    /** The argument is the {@link Plan} as JSON. */
    public static void main(String[] args) throws Exception {
        HollowProcess process = new HollowProcess(new ObjectMapper().readValue(args[0], Plan.class));
        process.serve();
        System.exit(0);
    }

    private void serve() throws Exception {
        StructuredLog.start(new LogSettings("text", "info", plan.log()));
        probe.start();
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String[] words = line.split(" ", 4);
            switch (words[0]) {
                case "open" -> open();
                case "put" -> at(words[1]).publish(EVENT_PREFIX + words[2]);
                case "events" -> answer(events(Integer.parseInt(words[1]), Integer.parseInt(words[2])));
                case "figures" -> answer(figures(words.length > 1));
                case "policy" -> at(words[1]).propose(Long.parseLong(words[2]), words[3],
                        (result, version) -> answer(
                                new ProposalAnswer(result == null ? "NO_ROOM" : result.name(), version)));
                default -> throw new IOException("unknown command: " + line);
            }
        }
    }

    private HollowDirector at(String number) {
        return directors.get(Integer.parseInt(number) - plan.first());
    }

    private synchronized void answer(Object value) {
        try {
            out.println(json.writeValueAsString(value));
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private void open() throws Exception {
        Config config = Config.load(plan.configuration(), null);
        // Loads the classes that reading settings needs, so that they are not counted as memory of the directors.
        SettingsFile.read(settings(0));
        heapBeforeKb = heapKb(true);
        residentBeforeKb = ProcessTable.residentKb(ProcessHandle.current().pid());
        SplittableRandom random = new SplittableRandom(plan.seed());
        for (int i = 0; i < plan.count(); i++) {
            directors.add(new HollowDirector(plan.first() + i, Path.of(settings(i)), config,
                    random.nextLong(-MAX_CLOCK_OFFSET_US, MAX_CLOCK_OFFSET_US), random.nextDouble(), this));
        }
        answer(figures(false));
    }

    private String settings(int index) {
        return String.format(plan.settingsPattern(), plan.first() + index);
    }

    @Override
    public void event(int director, String id) {
        if (id.startsWith(EVENT_PREFIX)) {
            deliveries.delivered(director - plan.first(), Integer.parseInt(id.substring(EVENT_PREFIX.length())),
                    System.currentTimeMillis());
        }
    }

    @Override
    public void policy(int director, PolicyView view) {
        if (view.step() == null || view.step().inTransition()) {
            return;
        }
        synchronized (inForce) {
            int index = director - plan.first();
            long version = view.step().version() + 1; // 0 means that the director has no version yet
            if (versions[index] < version) {
                versions[index] = version;
                inForce.merge(view.step().version(), 1, Integer::sum);
                inForceMs.put(view.step().version(), System.currentTimeMillis());
            }
        }
    }

    private Events events(int from, int to) {
        return new Events(deliveries.counts(from, to), deliveries.lastMs(from, to), deliveries.outOfOrder());
    }

    private HollowFigures figures(boolean collected) {
        long heapKb = heapKb(collected);
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long directorsNs = 0;
        long ownNs = 0;
        for (ThreadInfo each : threads.getThreadInfo(threads.getAllThreadIds())) {
            if (each == null) {
                continue;
            }
            long spentNs = Math.max(0, threads.getThreadCpuTime(each.getThreadId()));
            String name = each.getThreadName();
            boolean director = name.startsWith(HollowDirector.LOOP_THREAD) || name.startsWith("policy-store");
            directorsNs += director ? spentNs : 0;
            ownNs += name.equals("main") || name.equals(TickProbe.NAME) ? spentNs : 0;
        }
        long processNs = ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
        synchronized (inForce) {
            return new HollowFigures(processNs - ownNs, directorsNs,
                    ProcessTable.residentKb(ProcessHandle.current().pid()), heapKb, residentBeforeKb, heapBeforeKb,
                    probe.ticks(), probe.late(), new HashMap<>(inForce), new HashMap<>(inForceMs));
        }
    }

    private static long heapKb(boolean collected) {
        if (collected) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() >> 10;
    }
}
