package clovermill.cli;

import clovermill.simulation.emulator.Emulation;
import clovermill.simulation.emulator.FleetMetrics;
import clovermill.simulation.emulator.Plan;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine;

/** Simulates a fleet of directors with emulated caches. */
@Command(name = "fleet-sim", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
        description = "Simulate many directors, each with the real routing code, and emulated caches.",
        footer = {"", "Runs with the same seed are identical. Columns of --table: utilization of each cache by second,",
            "  . idle   1 to 9: tenths of its capacity   #: at or over capacity"})
final class FleetSimCommand implements Callable<Integer> {

    private static final int COLUMNS = 100;

    @Parameters(paramLabel = "PLAN", arity = "0..1",
            description = "The plan to simulate, as JSON (example/fleet-sim.json).")
    private Path file;

    @Option(names = "--directors", paramLabel = "N",
            description = "Use the standard plan for N directors (default 100).")
    private Integer directors;

    @Option(names = "--choice", paramLabel = "NAME",
            description = "The routing algorithm, may be given several times: module, "
                    + "guess (module without load reports), least (least loaded), two (less loaded of two).")
    private List<String> choices;

    @Option(names = "--seed", paramLabel = "S", description = "Seed of all random numbers (default 1).")
    private long seed = 1;

    @Option(names = "--json", description = "Print JSON lines: one per second, then the figures of the run.")
    private boolean json;

    @Option(names = "--table", description = "Print the load of each cache over time.")
    private boolean table;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws IOException, Plan.InvalidPlanException {
        if (file != null && directors != null) {
            throw new CommandLine.ParameterException(spec.commandLine(), "PLAN and --directors: one of them");
        }
        Plan plan = file == null ? Plan.standard(directors == null ? 100 : directors) : read();
        PrintWriter out = spec.commandLine().getOut();
        for (String choice : choices == null ? List.of(plan.choice()) : choices) {
            Plan chosen = plan.withChoice(choice);
            FleetMetrics metrics = Emulation.simulate(chosen, seed);
            Map<String, Object> line = new LinkedHashMap<>();
            line.put("choice", choice);
            line.put("directors", chosen.directors());
            line.put("caches", chosen.caches());
            line.put("seed", seed);
            line.putAll(metrics.figures());
            if (json) {
                for (FleetMetrics.Second second : metrics.seconds()) {
                    out.println(text(second(choice, second)));
                }
                out.println(text(line));
            } else {
                StringBuilder text = new StringBuilder();
                line.forEach((name, value) -> text.append(text.isEmpty() ? "" : " ").append(name).append('=')
                        .append(value));
                out.println(text);
            }
            if (table) {
                print(metrics, out);
            }
            out.flush();
        }
        return 0;
    }

    private Plan read() throws IOException, Plan.InvalidPlanException {
        try {
            return Plan.read(file);
        } catch (Plan.InvalidPlanException unusable) {
            throw new IOException(file + ": " + unusable.getMessage(), unusable);
        }
    }

    private static Map<String, Object> second(String choice, FleetMetrics.Second second) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("choice", choice);
        line.put("second", second.second());
        line.put("mean", Math.round(second.mean() * 1000) / 1000.0);
        line.put("most", Math.round(second.max() * 1000) / 1000.0);
        Map<String, Object> loads = new TreeMap<>();
        second.loads().forEach((id, load) -> loads.put(id, Math.round(load * 1000) / 1000.0));
        line.put("loads", loads);
        return line;
    }

    private static String text(Map<String, Object> line) throws JsonProcessingException {
        return new ObjectMapper().writeValueAsString(line);
    }

    /** Prints a line for each cache with a column for each second. */
    private static void print(FleetMetrics metrics, PrintWriter out) {
        List<FleetMetrics.Second> seconds = metrics.seconds().subList(0, Math.min(COLUMNS, metrics.seconds().size()));
        TreeSet<String> ids = new TreeSet<>();
        seconds.forEach(second -> ids.addAll(second.loads().keySet()));
        for (String id : ids) {
            StringBuilder row = new StringBuilder();
            for (FleetMetrics.Second second : seconds) {
                Double load = second.loads().get(id);
                row.append(load == null ? ' ' : load == 0 ? '.' : load >= 1 ? '#'
                        : (char) ('0' + Math.max(1, (int) (10 * load))));
            }
            out.printf("%-12s %s%n", id, row);
        }
    }
}
