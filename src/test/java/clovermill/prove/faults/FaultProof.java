package clovermill.prove.faults;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;

/**
 * Proof that a director keeps the rules while its wall clock is stepped, its socket calls fail and its files cannot be
 * written ({@code make prove-faults}). Each seed that breaks a rule is reported as one line on standard error.
 */
public final class FaultProof {

    private static final int SEEDS = 100;
    private static final int PARALLEL_DIRECTORS = 2;

    private record SeedResult(Verdict verdict, boolean conclusive) {}

    private FaultProof() {}

    /**
     * System properties: seeds (number of seeds), first (the first seed), parallel (directors running at once), verbose
     * (print a line for each seed), scenario (run this scenario for all seeds).
     */
    public static void main(String[] args) throws Exception {
        int first = Integer.getInteger("first", 0);
        List<Integer> seeds = IntStream.range(first, first + Integer.getInteger("seeds", SEEDS)).boxed().toList();
        try {
            String line = run(seeds, Integer.getInteger("parallel", PARALLEL_DIRECTORS));
            System.out.println(line);
            System.exit(line.endsWith("holds=true") ? 0 : 1);
        } catch (IOException failure) {
            System.err.println("prove-faults: " + failure.getMessage());
            System.exit(1);
        }
    }

    /**
     * Runs the seeds, at most {@code parallel} of them at once.
     *
     * @return the result line, which ends with {@code holds=true} if no rule was broken
     */
    static String run(List<Integer> seeds, int parallel) throws Exception {
        Path folder = Files.createTempDirectory("fault-library");
        ExecutorService threads = Executors.newFixedThreadPool(parallel);
        try {
            Path library = FaultLibrary.build(folder);
            List<Future<SeedResult>> running = new ArrayList<>();
            for (int seed : seeds) {
                running.add(threads.submit(() -> runSeed(seed, library)));
            }
            Verdict all = Verdict.NONE;
            boolean conclusive = true;
            for (Future<SeedResult> each : running) {
                all = all.plus(each.get().verdict());
                conclusive &= each.get().conclusive();
            }
            return "prove-faults: seeds=" + seeds.size() + " " + all + " holds=" + (all.holds() && conclusive);
        } finally {
            threads.shutdownNow();
            remove(folder);
        }
    }

    private static SeedResult runSeed(int seed, Path library) throws Exception {
        String name = System.getProperty("scenario");
        Scenario scenario = name == null ? Scenario.forSeed(seed) : Scenario.valueOf(name);
        SeedRun run = new SeedRun(seed, scenario, library);
        Verdict verdict = run.run();
        if (Boolean.getBoolean("verbose") || !verdict.holds() || !run.isConclusive()) {
            System.err.println("seed " + seed + " " + scenario + " " + scenario.calls(seed) + ": " + verdict + " "
                    + run.findings());
        }
        return new SeedResult(verdict, run.isConclusive());
    }

    private static void remove(Path folder) throws IOException {
        Files.deleteIfExists(folder.resolve("fault_injection.so"));
        Files.deleteIfExists(folder);
    }
}
