package clovermill.cli;

import clovermill.ledger.Closer;
import clovermill.ledger.LedgerFolder;
import clovermill.ledger.LedgerSettings;
import clovermill.ledger.LogHeader;
import clovermill.ledger.LogReader;
import clovermill.ledger.SharesFile;
import clovermill.ledger.books.Books;
import clovermill.ledger.books.Compactor;
import clovermill.ledger.books.Reconciler;
import clovermill.ledger.books.Verification;
import clovermill.ledger.decide.Accounts;
import clovermill.ledger.decide.Entry;
import clovermill.ledger.decide.Reconciliation;
import clovermill.ledger.decide.Shares;
import clovermill.ledger.decide.Totals;
import clovermill.ledger.export.BatchText;
import clovermill.ledger.export.Exporter;
import clovermill.settings.SettingsFile;
import clovermill.store.Volume;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine;

/** {@code ledger …}: everything about what was used, beside a director or without one. */
@Command(name = "ledger", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
        description = "What each tenant used: show, check, bill and reconcile it.",
        subcommands = {LedgerCommand.Show.class, LedgerCommand.Tail.class, LedgerCommand.Verify.class,
            LedgerCommand.Export.class, LedgerCommand.Reconcile.class, LedgerCommand.Rebuild.class,
            LedgerCommand.Compact.class, LedgerCommand.Close.class})
final class LedgerCommand implements Callable<Integer> {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return CommandLine.ExitCode.USAGE;
    }

    /** A command on one folder. */
    abstract static class OnFolder implements Callable<Integer> {

        /** Where the folder is named. */
        static final class Where {
            @Option(names = "--folder", paramLabel = "DIR", description = "The ledger's folder.")
            private Path folder;
            @Option(names = "--settings", paramLabel = "FILE", description = "Settings that name it.")
            private String settings;
        }

        @CommandLine.ArgGroup(multiplicity = "1")
        private Where where;
        @Option(names = "--json", description = "Print JSON.")
        private boolean json;
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        LedgerFolder folder() throws SettingsFile.Fault {
            return new LedgerFolder(where.folder != null ? where.folder : Path.of(settings().folder()));
        }

        /** What the settings file says, or defaults where only the folder was named. */
        LedgerSettings settings() throws SettingsFile.Fault {
            if (where.settings == null) {
                return LedgerSettings.in(where.folder.toString());
            }
            return SettingsFile.read(where.settings).part("ledger", LedgerSettings.class)
                    .orElseThrow(() -> new SettingsFile.Fault(where.settings, "/ledger", "is missing"));
        }

        PrintWriter out() {
            return spec.commandLine().getOut();
        }

        boolean json() {
            return json;
        }

        CommandLine.ParameterException wrong(String reason) {
            return new CommandLine.ParameterException(spec.commandLine(), reason);
        }
    }

    private static String time(long ms) {
        return ms == Long.MIN_VALUE ? "-" : Instant.ofEpochMilli(ms).toString();
    }

    private static final List<String> COLUMNS = List.of("period", "state", "tenant", "requests", "served", "notmod",
            "refused", "failed", "gone", "broken", "bytes", "parent", "origin", "missed");

    private static List<String> row(Accounts.Key key, String state, Totals totals) {
        List<String> row = new ArrayList<>(List.of(time(key.period().startMs()), state, printable(key.tenant())));
        for (Totals.Sum sum : List.of(Totals.Sum.REQUESTS, Totals.Sum.SERVED, Totals.Sum.NOT_MODIFIED,
                Totals.Sum.REFUSED, Totals.Sum.FAILED, Totals.Sum.GONE, Totals.Sum.BROKEN_OFF, Totals.Sum.BYTES,
                Totals.Sum.PARENT_BYTES, Totals.Sum.ORIGIN_BYTES, Totals.Sum.MISSED_REQUESTS)) {
            row.add(Long.toString(totals.get(sum)));
        }
        return row;
    }

    /** A name that does nothing to a terminal. */
    private static String printable(String name) {
        return name.isEmpty() ? "(others)" : name.replaceAll("\\p{Cntrl}", "?");
    }

    private static Map<String, Object> object(Accounts.Key key, String state, Totals totals) {
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("period", time(key.period().startMs()));
        object.put("period_s", key.period().lengthMs() / 1000);
        object.put("state", state);
        object.put("tenant", key.tenant());
        object.putAll(BatchText.named(totals));
        return object;
    }

    @Command(name = "show", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
            description = "Totals by period and tenant, closed and open, with corrections.")
    static final class Show extends OnFolder {
        @Option(names = "--tenant", description = "Only this one.")
        private String tenant;
        @Option(names = "--last", paramLabel = "N", defaultValue = "24",
                description = "So many batches back (${DEFAULT-VALUE}).")
        private int last;

        @Override
        public Integer call() throws Exception {
            List<List<String>> rows = new ArrayList<>();
            List<Object> objects = new ArrayList<>();
            try (Books books = Books.open(folder()); Output.Progress progress = Output.progress("reading")) {
                books.update(progress);
                long from = books.accounts().closings() - last;
                for (Books.BatchInfo info : books.batches().tailMap(from, false).values()) {
                    Accounts.Batch batch = books.batch(info.number());
                    String state = info.acknowledged() == null ? "closed" : "exported";
                    add(batch.totals(), state, rows, objects);
                    add(batch.corrections(), "correction", rows, objects);
                }
                add(new TreeMap<>(books.accounts().corrections()), "correction due", rows, objects);
                add(new TreeMap<>(books.accounts().open()), "open", rows, objects);
            }
            if (json()) {
                Output.json(out(), objects);
            } else {
                Output.table(out(), COLUMNS, rows);
            }
            return 0;
        }

        private void add(Map<Accounts.Key, Totals> from, String state, List<List<String>> rows, List<Object> objects) {
            from.forEach((key, totals) -> {
                if (tenant == null || tenant.equals(key.tenant())) {
                    rows.add(row(key, state, totals));
                    objects.add(object(key, state, totals));
                }
            });
        }
    }

    @Command(name = "tail", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
            description = "The last entries of the log.")
    static final class Tail extends OnFolder {
        @Option(names = "-n", paramLabel = "N", defaultValue = "10", description = "So many (${DEFAULT-VALUE}).")
        private int count;

        @Override
        public Integer call() throws Exception {
            if (count < 1) {
                throw wrong("-n takes a number from 1");
            }
            LedgerFolder folder = folder();
            folder.identity();
            ArrayDeque<Object[]> last = new ArrayDeque<>();
            List<LedgerFolder.Segment> segments = folder.segments();
            for (int from = segments.size() - 1; from >= 0 && last.size() < count; from--) {
                last.clear();
                LogReader reader = new LogReader(folder);
                for (LedgerFolder.Segment segment : segments.subList(from, segments.size())) {
                    reader.read(segment, 0, (header, entry) -> {
                        last.add(new Object[] {header, entry});
                        if (last.size() > count) {
                            last.poll();
                        }
                    });
                }
            }
            for (Object[] each : last) {
                LogHeader header = (LogHeader) each[0];
                Entry entry = (Entry) each[1];
                if (json()) {
                    Map<String, Object> object = new LinkedHashMap<>();
                    object.put("epoch", header.epoch());
                    object.put("type", entry.getClass().getSimpleName().toLowerCase(Locale.ROOT));
                    object.put("entry", entry);
                    Output.json(out(), object);
                } else {
                    out().println(header.epoch() + "/" + entry.seq() + " " + told(header, entry));
                }
            }
            return 0;
        }

        private static String told(LogHeader header, Entry entry) {
            if (entry instanceof Entry.Used used) {
                String name = used.requestClass() < header.classes().size() ? header.classes().get(used.requestClass())
                        : "#" + used.requestClass();
                return time(used.takenMs()) + " " + printable(used.tenant()) + " " + name + " "
                        + String.format("%016x", used.request()) + " " + used.end() + " " + used.how() + " "
                        + used.written() + " bytes, " + used.attempts() + " attempts"
                        + (used.repeat() ? ", repeat" : "");
            } else if (entry instanceof Entry.Gap gap) {
                return time(gap.firstMs()) + " " + printable(gap.tenant()) + " GAP of " + gap.count() + " requests, "
                        + gap.written() + " bytes";
            } else if (entry instanceof Entry.Close close) {
                return time(close.atMs()) + " CLOSED through " + time(close.throughMs()) + ", batch " + close.number();
            }
            Entry.ClockStep step = (Entry.ClockStep) entry;
            return time(step.lineMs()) + " CLOCK " + step.stepMs() + " ms off" + (step.taken() ? ", taken over" : "");
        }
    }

    @Command(name = "verify", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
            description = "Read the whole log; exit status 1 if anything is damaged or missing.")
    static final class Verify extends OnFolder {
        @Override
        public Integer call() throws Exception {
            Verification found;
            try (Output.Progress progress = Output.progress("verifying")) {
                found = Verification.of(folder(), progress);
            }
            if (json()) {
                Output.json(out(), found);
            } else {
                found.faults().forEach(line -> out().println("FAULT " + line));
                found.notes().forEach(line -> out().println("note  " + line));
                out().println(found.segments() + " segments, " + found.entries() + " entries, " + found.missing()
                        + " missing, " + found.repeated() + " there twice");
            }
            return found.faults().isEmpty() ? 0 : 1;
        }
    }

    @Command(name = "export", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
            description = "Deliver closed periods and corrections, each batch exactly once.")
    static final class Export extends OnFolder {
        @Option(names = "--to", paramLabel = "DIR", description = "A folder for the files, instead of the settings'.")
        private String to;
        @Option(names = "--receiver", paramLabel = "URL", description = "A receiver, instead of the settings'.")
        private String receiver;
        @Option(names = "--format", description = "csv or jsonl.")
        private String format;
        @Option(names = "--every", paramLabel = "S", description = "Go on, every so many seconds.")
        private Integer every;

        @Override
        public Integer call() throws Exception {
            LedgerSettings.Export set = settings().export();
            LedgerSettings.Export terms = new LedgerSettings.Export(to != null ? to : set == null ? null : set.folder(),
                    format != null ? format : set == null ? null : set.format(),
                    receiver != null ? receiver : set == null ? null : set.receiver(),
                    set == null ? null : set.attempts(), set == null ? null : set.timeoutMs());
            if (terms.folder() == null && terms.receiver() == null) {
                throw wrong("neither --to nor --receiver, nor /ledger/export in the settings");
            }
            if (!List.of("csv", "jsonl").contains(terms.format())) {
                throw wrong("--format takes csv or jsonl");
            }
            Exporter exporter = new Exporter(folder(), terms, Volume.local(), new Random());
            while (true) {
                Exporter.Result result = exporter.run();
                if (json()) {
                    Output.json(out(), result);
                } else if (every == null || !result.delivered().isEmpty() || result.left() > 0) {
                    out().println(result.delivered().size() + " batches delivered, " + result.left() + " left"
                            + (result.reason() == null ? "" : ": " + result.reason()));
                }
                if (every == null) {
                    return result.left() == 0 ? 0 : 1;
                }
                Thread.sleep(every * 1000L);
            }
        }
    }

    @Command(name = "rebuild", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
            description = "Make the books again from the log; exit status 1 if they come out otherwise.")
    static final class Rebuild extends OnFolder {
        @Override
        public Integer call() throws Exception {
            Books.Rebuilt rebuilt;
            try (Output.Progress progress = Output.progress("rebuilding")) {
                rebuilt = Books.rebuild(folder(), progress);
            }
            boolean same = rebuilt.after().equals(rebuilt.before());
            if (json()) {
                Output.json(out(), rebuilt);
            } else {
                out().println(rebuilt.entries() + " entries, digest " + rebuilt.after() + (rebuilt.before() == null
                        ? "; there were no books to compare with" : same ? ", the same as before"
                        : ", BEFORE IT WAS " + rebuilt.before()));
            }
            return same || rebuilt.before() == null ? 0 : 1;
        }
    }

    @Command(name = "compact", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
            description = "Take away exported segments beyond an age or a size.")
    static final class Compact extends OnFolder {
        @Option(names = "--days", description = "Keep what is younger, instead of the settings'.")
        private Integer days;
        @Option(names = "--mb", description = "Keep so much, instead of the settings'.")
        private Integer mb;

        @Override
        public Integer call() throws Exception {
            LedgerSettings.Retention set = settings().retention();
            Integer mostDays = days != null ? days : set.days();
            Integer mostMb = mb != null ? mb : set.mb();
            if (mostDays == null && mostMb == null) {
                throw wrong("neither --days nor --mb, nor /ledger/retention in the settings");
            }
            Compactor.Result result;
            try (Output.Progress progress = Output.progress("compacting")) {
                result = Compactor.run(folder(), System.currentTimeMillis(), mostDays == null ? -1 : mostDays,
                        mostMb == null ? -1 : (long) mostMb << 20, Volume.local(), progress);
            }
            if (json()) {
                Output.json(out(), result);
            } else {
                out().println(result.segments().size() + " segments taken away, " + result.bytes() + " bytes");
            }
            return 0;
        }
    }

    @Command(name = "close", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
            description = "Close what has ended, for a folder whose director does not run.")
    static final class Close extends OnFolder {
        @Override
        public Integer call() throws Exception {
            LedgerSettings settings = settings();
            long throughMs = Closer.close(folder(), settings, System.currentTimeMillis(), Volume.local());
            if (json()) {
                Output.json(out(), Map.of("through", time(throughMs)));
            } else {
                out().println("closed through " + time(throughMs));
            }
            return 0;
        }
    }

    @Command(name = "reconcile", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
            description = "Bring instances together; exit status 1 if more than the bound is uncertain.")
    static final class Reconcile implements Callable<Integer> {
        @Parameters(arity = "1..*", paramLabel = "DIR", description = "The ledgers' folders.")
        private List<Path> folders;
        @Option(names = "--bound", defaultValue = "0.001",
                description = "Share of all bytes that may be uncertain (${DEFAULT-VALUE}).")
        private double bound;
        @Option(names = "--window", paramLabel = "S", defaultValue = "30",
                description = "Tries of one request lie no further apart (${DEFAULT-VALUE} s).")
        private long windowS;
        @Option(names = "--billed", paramLabel = "DIR", description = "Compare with the CSV batches in there.")
        private Path billed;
        @Option(names = "--shares", paramLabel = "FILE", description = "Write parts of allowances for the next period.")
        private Path shares;
        @Option(names = "--json", description = "Print JSON.")
        private boolean json;
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            List<LedgerFolder> all = folders.stream().map(LedgerFolder::new).toList();
            Reconciliation.Report report;
            List<Reconciler.Difference> differences = List.of();
            long heldFromMs;
            try (Output.Progress progress = Output.progress("reconciling")) {
                Reconciler reconciler = new Reconciler(all, windowS * 1000, progress);
                report = reconciler.run();
                heldFromMs = reconciler.heldFromMs();
                if (billed != null) {
                    differences = reconciler.compare(report, billed);
                }
                if (shares != null) {
                    SharesFile.write(Volume.local(), shares, shares(reconciler.lastPeriod()));
                }
            }
            long apart = differences.stream().mapToLong(each -> Math.abs(each.loggedBytes() - each.billedBytes()))
                    .sum();
            double share = report.bytes() == 0 ? report.share() : report.share() + (double) apart / report.bytes();
            boolean holds = share <= bound && !report.nameUsedTwice();
            print(report, differences, share, holds);
            if (!json && heldFromMs != Long.MIN_VALUE) {
                spec.commandLine().getOut().println("- periods before " + time(heldFromMs)
                        + " are left out: some folder's segments of then were compacted");
            }
            return holds ? 0 : 1;
        }

        private static TreeMap<String, Map<String, Double>> shares(Map<String, Map<String, Long>> usedByTenant) {
            TreeMap<String, Map<String, Double>> result = new TreeMap<>();
            usedByTenant.forEach((tenant, used) -> result.put(tenant, Shares.next(used)));
            return result;
        }

        private void print(Reconciliation.Report report, List<Reconciler.Difference> differences, double share,
                boolean holds) {
            PrintWriter out = spec.commandLine().getOut();
            if (json) {
                Map<String, Object> object = new LinkedHashMap<>();
                object.put("rows", report.rows().stream().map(row -> {
                    Map<String, Object> each = LedgerCommand.object(row.key(), "reconciled", row.totals());
                    each.put("doubled_requests", row.doubledRequests());
                    each.put("doubled_bytes", row.doubledBytes());
                    return each;
                }).toList());
                object.put("findings", report.findings());
                object.put("differences", differences);
                object.put("bytes", report.bytes());
                object.put("missing_records", report.missingRecords());
                object.put("repeated_records", report.repeatedRecords());
                object.put("uncertain_share", share);
                object.put("holds", holds);
                Output.json(out, object);
                return;
            }
            List<List<String>> rows = new ArrayList<>();
            for (Reconciliation.Row row : report.rows()) {
                rows.add(List.of(time(row.key().period().startMs()), printable(row.key().tenant()),
                        "" + row.totals().get(Totals.Sum.REQUESTS), "" + row.totals().get(Totals.Sum.BYTES),
                        "" + (row.totals().get(Totals.Sum.BYTES) - row.totals().get(Totals.Sum.MISSED_BYTES)
                        - row.doubledBytes()), "" + row.totals().get(Totals.Sum.MISSED_BYTES),
                        "" + row.doubledBytes()));
            }
            Output.table(out, List.of("period", "tenant", "requests", "bytes", "certain", "by gaps", "served twice"),
                    rows);
            report.findings().forEach(line -> out.println("- " + line));
            differences.forEach(each -> out.println("- billed " + each.billedBytes() + " bytes to "
                    + printable(each.key().tenant()) + " for " + time(each.key().period().startMs()) + ", logged "
                    + each.loggedBytes()));
            out.println(String.format(Locale.ROOT, "%d bytes, uncertain %.6f of them (bound %s): %s", report.bytes(),
                    share, bound, holds ? "agrees" : "DOES NOT AGREE"));
        }
    }
}
