package clovermill.cli;

import clovermill.ledger.LedgerFolder;
import clovermill.ledger.SharesFile;
import clovermill.ledger.decide.LimitShares;
import clovermill.ledger.decide.Reconciliation;
import clovermill.ledger.decide.Totals;
import clovermill.ledger.totals.Reconciler;
import clovermill.storage.Volume;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code ledger reconcile}: combines the ledgers of several directors. */
@Command(name = "reconcile", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
        description = "Combine the ledgers of instances; exit status 1 if more than the bound is uncertain.")
final class LedgerReconcileCommand implements Callable<Integer> {

    private static final List<String> COLUMNS = List.of("period", "tenant", "requests", "bytes", "certain", "by gaps",
            "served twice");

    /**
     * The output: the report, the differences to billed batches, the uncertain fraction of all bytes, and whether the
     * check passes.
     */
    private record Outcome(Reconciliation.Report report, List<Reconciler.Difference> differences, double uncertain,
            boolean passes) {}

    @Parameters(arity = "1..*", paramLabel = "DIR", description = "The folders of the ledgers.")
    private List<Path> folders;
    @Option(names = "--bound", defaultValue = "0.001",
            description = "Share of all bytes that may be uncertain (${DEFAULT-VALUE}).")
    private double bound;
    @Option(names = "--window", paramLabel = "S", defaultValue = "30",
            description = "Maximum time between attempts of one request (${DEFAULT-VALUE} s).")
    private long windowS;
    @Option(names = "--billed", paramLabel = "DIR", description = "Compare with the CSV batches in this folder.")
    private Path billed;
    @Option(names = "--shares", paramLabel = "FILE",
            description = "Write the shares of the usage limits for the next period.")
    private Path shares;
    @Option(names = "--json", description = "Print JSON.")
    private boolean json;
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        List<LedgerFolder> ledgers = folders.stream().map(LedgerFolder::new).toList();
        Reconciliation.Report report;
        List<Reconciler.Difference> differences = List.of();
        long completeFromMs;
        try (Output.Progress progress = Output.progress("reconciling")) {
            Reconciler reconciler = new Reconciler(ledgers, windowS * 1000, progress);
            report = reconciler.run();
            completeFromMs = reconciler.completeFromMs();
            if (billed != null) {
                differences = reconciler.compare(report, billed);
            }
            if (shares != null) {
                SharesFile.write(Volume.local(), shares, shares(reconciler.lastPeriodUsage()));
            }
        }
        Outcome outcome = outcome(report, differences);
        if (json) {
            printJson(outcome);
        } else {
            printTable(outcome, completeFromMs);
        }
        return outcome.passes ? 0 : 1;
    }

    private Outcome outcome(Reconciliation.Report report, List<Reconciler.Difference> differences) {
        long differenceBytes = differences.stream().mapToLong(each -> Math.abs(each.loggedBytes() - each.billedBytes()))
                .sum();
        double uncertain = report.bytes() == 0 ? report.uncertainShare()
                : report.uncertainShare() + (double) differenceBytes / report.bytes();
        return new Outcome(report, differences, uncertain, uncertain <= bound && !report.duplicateInstanceName());
    }

    private static TreeMap<String, Map<String, Double>> shares(Map<String, Map<String, Long>> usedByTenant) {
        TreeMap<String, Map<String, Double>> result = new TreeMap<>();
        usedByTenant.forEach((tenant, used) -> result.put(tenant, LimitShares.next(used)));
        return result;
    }

    private void printJson(Outcome outcome) {
        Reconciliation.Report report = outcome.report;
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("rows", report.rows().stream().map(LedgerReconcileCommand::object).toList());
        object.put("findings", report.findings());
        object.put("differences", outcome.differences);
        object.put("bytes", report.bytes());
        object.put("missing_records", report.missingRecords());
        object.put("repeated_records", report.repeatedRecords());
        object.put("uncertain_share", outcome.uncertain);
        object.put("holds", outcome.passes);
        Output.json(out(), object);
    }

    private static Map<String, Object> object(Reconciliation.Row row) {
        Map<String, Object> object = LedgerFormat.object(row.key(), "reconciled", row.totals());
        object.put("doubled_requests", row.doubleServedRequests());
        object.put("doubled_bytes", row.doubleServedBytes());
        return object;
    }

    private void printTable(Outcome outcome, long completeFromMs) {
        Reconciliation.Report report = outcome.report;
        Output.table(out(), COLUMNS, report.rows().stream().map(LedgerReconcileCommand::columns).toList());
        report.findings().forEach(line -> out().println("- " + line));
        outcome.differences.forEach(each -> out().println("- billed " + each.billedBytes() + " bytes to "
                + LedgerFormat.printable(each.key().tenant()) + " for "
                + LedgerFormat.time(each.key().period().startMs()) + ", logged " + each.loggedBytes()));
        out().println(String.format(Locale.ROOT, "%d bytes, uncertain %.6f of them (bound %s): %s", report.bytes(),
                outcome.uncertain, bound, outcome.passes ? "agrees" : "DOES NOT AGREE"));
        if (completeFromMs != Long.MIN_VALUE) {
            out().println("- periods before " + LedgerFormat.time(completeFromMs)
                    + " are omitted: their segments were compacted in some folder");
        }
    }

    private static List<String> columns(Reconciliation.Row row) {
        long bytes = row.totals().get(Totals.Sum.BYTES);
        long missedBytes = row.totals().get(Totals.Sum.MISSED_BYTES);
        return List.of(LedgerFormat.time(row.key().period().startMs()), LedgerFormat.printable(row.key().tenant()),
                "" + row.totals().get(Totals.Sum.REQUESTS), "" + bytes,
                "" + (bytes - missedBytes - row.doubleServedBytes()), "" + missedBytes, "" + row.doubleServedBytes());
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }
}
