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
 * The proof that a director keeps the rules while its wall clock is stepped, its calls on sockets fail and its files
 * cannot be written ({@code make prove-faults}). Each seed that breaks a rule is one line on standard error.
 */
public final class FaultProof {

    private static final int SEEDS = 100;
    private static final int DIRECTORS_AT_ONCE = 2;

    private record Seed(Verdict verdict, boolean shows) {}

    private FaultProof() {}

    /**
     * Properties: seeds, first (the first seed), parallel (directors at once), verbose (a line for each seed), scenario
     * (the same one for all seeds).
     */
    public static void main(String[] args) throws Exception {
        int first = Integer.getInteger("first", 0);
        List<Integer> seeds = IntStream.range(first, first + Integer.getInteger("seeds", SEEDS)).boxed().toList();
        try {
            String line = run(seeds, Integer.getInteger("parallel", DIRECTORS_AT_ONCE));
            System.out.println(line);
            System.exit(line.endsWith("holds=true") ? 0 : 1);
        } catch (IOException unable) {
            System.err.println("prove-faults: " + unable.getMessage());
            System.exit(1);
        }
    }

    /** Plays seeds, so many at once; the line of figures, which ends with whether all rules held. */
    static String run(List<Integer> seeds, int atOnce) throws Exception {
        Path folder = Files.createTempDirectory("fault-library");
        ExecutorService threads = Executors.newFixedThreadPool(atOnce);
        try {
            Path library = FaultLibrary.build(folder);
            List<Future<Seed>> running = new ArrayList<>();
            for (int seed : seeds) {
                running.add(threads.submit(() -> play(seed, library)));
            }
            Verdict all = Verdict.NONE;
            boolean show = true;
            for (Future<Seed> each : running) {
                all = all.plus(each.get().verdict());
                show &= each.get().shows();
            }
            return "prove-faults: seeds=" + seeds.size() + " " + all + " holds=" + (all.holds() && show);
        } finally {
            threads.shutdownNow();
            remove(folder);
        }
    }

    private static Seed play(int seed, Path library) throws Exception {
        String only = System.getProperty("scenario");
        Scenario scenario = only == null ? Scenario.of(seed) : Scenario.valueOf(only);
        Trial trial = new Trial(seed, scenario, library);
        Verdict verdict = trial.play();
        if (Boolean.getBoolean("verbose") || !verdict.holds() || !trial.shows()) {
            System.err.println("seed " + seed + " " + scenario + " " + scenario.calls(seed) + ": " + verdict + " "
                    + trial.findings());
        }
        return new Seed(verdict, trial.shows());
    }

    private static void remove(Path folder) throws IOException {
        Files.deleteIfExists(folder.resolve("fault_injection.so"));
        Files.deleteIfExists(folder);
    }
}
