package clovermill.prove.faults;

import clovermill.prove.LoadGenerator;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/** The run of one seed: a scenario on a director under load, and its findings. */
final class SeedRun {

    private static final int CACHES = 8;
    /** Capacity of a warm cache, on which the bound for slow start is based. */
    private static final double CACHE_CAPACITY_PER_SECOND = 30;
    private static final int REQUESTS_PER_SECOND = 75;
    private static final int KB = 4;
    /** Exponent of popularity: some objects are requested often, so that caches have copies of purged objects. */
    private static final int POPULARITY = 4;
    /** The client's deadline in {@link LoadGenerator} and the slack for sockets and a busy machine. */
    private static final long MAX_RESPONSE_US = 3_000_000 + RuleChecker.SLACK_US;
    private static final long HISTOGRAM_MAX_US = 60_000_000;
    private static final long DRAIN_MS = 4_000;
    /** A director that rejects nearly all requests would break no rule. */
    private static final double MIN_SERVED_SHARE = 0.1;

    private final int seed;
    private final Scenario scenario;
    private final Path library;
    private final SplittableRandom random;
    private final Path root = Files.createTempDirectory("prove-faults");
    private final Path stateFolder = Files.createDirectory(root.resolve("lasting"));
    private final FaultControl control = new FaultControl(root.resolve("control"));
    private final List<String> findings = new ArrayList<>();
    private long requests;
    private long served;
    private long lost;
    private long duplicate;

    SeedRun(int seed, Scenario scenario, Path library) throws IOException {
        this.seed = seed;
        this.scenario = scenario;
        this.library = library;
        this.random = new SplittableRandom(seed);
    }

    /** Runs the scenario, then ends its processes and deletes its files. */
    Verdict run() throws Exception {
        try (FakeCaches caches = new FakeCaches(CACHES, CACHE_CAPACITY_PER_SECOND)) {
            for (int start = 0; start < scenario.starts(); start++) {
                runStart(caches, start);
            }
            if (control.clockReads() == 0) {
                throw new IllegalStateException("the library was not loaded");
            }
            findings.addAll(caches.findings());
            findings.add("served " + served + " of " + requests);
            Verdict seen = caches.verdict();
            return new Verdict(control.faults(), lost, seen.duplicate() + duplicate, seen.stale(), seen.drained(),
                    seen.overloaded());
        } finally {
            remove();
        }
    }

    /** Returns messages: the first violations, and the last log lines of a director that failed. */
    List<String> findings() {
        return findings;
    }

    /** Returns true if the run is meaningful: faults occurred and enough requests were served. */
    boolean isConclusive() {
        boolean faultsMet = scenario == Scenario.UNDISTURBED || control.faults() > 0;
        return faultsMet && requests > 0 && served >= MIN_SERVED_SHARE * requests;
    }

    private FaultyDirector start(FakeCaches caches, int number) throws Exception {
        return FaultyDirector.start(root, library, control, stateFolder, caches.channel(), scenario.calls(seed),
                seed * 10 + number,
                scenario == Scenario.DISK);
    }

    private void runStart(FakeCaches caches, int number) throws Exception {
        FaultyDirector director = start(caches, number);
        try {
            if (!awaitReady(director)) {
                return;
            }
            List<LoadGenerator> loads = new ArrayList<>();
            loads.add(load(director));
            if (scenario == Scenario.DISK) {
                director = killAfterDisable(caches, director, loads, number);
            } else if (scenario == Scenario.STARTS) {
                Thread.sleep(700);
            } else {
                runEvents(caches, director, loads);
            }
            finish(loads);
            stop(director, number == scenario.starts() - 1);
        } finally {
            director.kill();
        }
    }

    /** Checks that a director is still running; the last one is shut down gracefully. */
    private void stop(FaultyDirector director, boolean last) throws Exception {
        if (!director.isAlive()) {
            recordFailure("a director exited unexpectedly");
            return;
        }
        String error = last ? director.shutDown() : null;
        if (error != null) {
            recordFailure(error);
        }
    }

    /** Starts clients whose request ids and tokens are unique. */
    private LoadGenerator load(FaultyDirector director) throws IOException {
        return new LoadGenerator(director.port, REQUESTS_PER_SECOND, random.nextLong(), KB, POPULARITY);
    }

    private boolean awaitReady(FaultyDirector director) throws Exception {
        boolean ready = director.awaitReady();
        if (!ready) {
            recordFailure("a director did not become ready");
        }
        return ready;
    }

    private void recordFailure(String failure) throws IOException {
        lost++;
        List<String> log = Files.readAllLines(FaultyDirector.log(root));
        findings.add(failure + ": " + String.join(" / ", log.subList(Math.max(0, log.size() - 2), log.size())));
    }

    /** Purges, starts and drains before, between and after the two clock steps, each at a random time. */
    private void runEvents(FakeCaches caches, FaultyDirector director, List<LoadGenerator> loads) throws Exception {
        long[] offsets = scenario.clockOffsetsMs(seed);
        Thread.sleep(1_200);
        for (int group = 0; group < 3; group++) {
            caches.purge(0, 1 + group);
            caches.join("c-" + group);
            caches.drain("s-" + (1 + group));
            if (group == 1) {
                loads.add(load(director));
            }
            int delayMs = random.nextInt(1_800);
            Thread.sleep(delayMs);
            if (offsets != null && group < offsets.length) {
                control.setClockOffsetMs(offsets[group]);
            }
            Thread.sleep(2_000 - delayMs);
        }
        Thread.sleep(1_800);
    }

    /** Disables a cache while files fail; an acknowledged change must survive a kill. */
    private FaultyDirector killAfterDisable(FakeCaches caches, FaultyDirector first, List<LoadGenerator> loads,
            int number)
            throws Exception {
        Thread.sleep(500);
        control.setDiskError(random.nextBoolean() ? FaultControl.ENOSPC : FaultControl.EIO);
        if (first.disable("s-1")) {
            caches.disableAcknowledged("s-1");
        }
        Thread.sleep(1_500);
        control.setDiskError(0);
        Thread.sleep(1_000);
        if (first.disable("s-2")) {
            caches.disableAcknowledged("s-2");
        }
        Thread.sleep(700);
        finish(loads);
        loads.clear();
        first.kill();
        FaultyDirector second = start(caches, number + 1);
        if (awaitReady(second)) {
            loads.add(load(second));
            Thread.sleep(1_500);
        }
        return second;
    }

    /** Ends the loads and adds up the outcomes of their requests. */
    private void finish(List<LoadGenerator> loads) throws InterruptedException {
        for (LoadGenerator load : loads) {
            load.drain(DRAIN_MS);
        }
        for (LoadGenerator load : loads) {
            load.close();
            long late = load.latencyUs.getCountBetweenValues(MAX_RESPONSE_US, HISTOGRAM_MAX_US);
            long unanswered = Math.max(0, load.requests - load.responses - load.lost);
            if (load.lost + unanswered + late > 0) {
                findings.add("lost: " + load.lost + " on a closed connection, " + unanswered + " never answered, "
                        + late + " late");
            }
            lost += load.lost + unanswered + late;
            duplicate += load.duplicates;
            requests += load.requests;
            served += load.served;
        }
    }

    private void remove() throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }
}
