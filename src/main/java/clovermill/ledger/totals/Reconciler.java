package clovermill.ledger.totals;

import clovermill.ledger.LedgerFolder;
import clovermill.ledger.LogHeader;
import clovermill.ledger.LogReader;
import clovermill.ledger.decide.DoubleServedRetries;
import clovermill.ledger.decide.Entry;
import clovermill.ledger.decide.Period;
import clovermill.ledger.decide.Reconciliation;
import clovermill.ledger.decide.Totals;
import clovermill.ledger.decide.TotalsAggregator;
import clovermill.ledger.export.BatchText;
import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import java.util.stream.Stream;

/** Reads the logs of several instances for a {@link Reconciliation}; does not change them. */
public final class Reconciler {

    /** A difference between batches and logs for one tenant and period. */
    public record Difference(TotalsAggregator.Key key, long loggedBytes, long billedBytes) {}

    /** The maximum number of retries kept in memory; each takes about 100 bytes. */
    private static final int MAX_RETRIES = 2_000_000;

    private final List<LedgerFolder> folders;
    private final LongConsumer progress;
    private final long windowMs;
    private final TreeMap<String, Map<String, Long>> lastPeriodUsage = new TreeMap<>();
    private Period latestPeriod;
    private long completeFromMs = Long.MIN_VALUE;
    private long entriesRead;

    /** Creates a reconciler; attempts of one request are at most {@code windowMs} apart. */
    public Reconciler(List<LedgerFolder> folders, long windowMs, LongConsumer progress) {
        this.folders = folders;
        this.windowMs = windowMs;
        this.progress = progress;
    }

    /** Reads every log twice and returns the report. */
    public Reconciliation.Report run() throws IOException {
        Reconciliation reconciliation = new Reconciliation();
        DoubleServedRetries retries = new DoubleServedRetries(windowMs, MAX_RETRIES);
        for (LedgerFolder folder : folders) {
            completeFromMs = Math.max(completeFromMs, completeFrom(folder));
        }
        for (LedgerFolder folder : folders) {
            sum(folder, reconciliation, retries);
        }
        for (LedgerFolder folder : folders) {
            // Uses the folder ID: a copy of a folder is not another instance.
            String source = folder.identity().folder().toString();
            new LogReader(folder).read(LogReader.Position.START, (header, entry) -> {
                if (entry instanceof Entry.Used used) {
                    retries.match(source, used).forEach(reconciliation::add);
                }
            });
        }
        return reconciliation.report();
    }

    private void sum(LedgerFolder folder, Reconciliation reconciliation, DoubleServedRetries retries)
            throws IOException {
        LedgerFolder.Identity identity = folder.identity();
        String source = identity.folder().toString();
        TotalsAggregator aggregator = new TotalsAggregator(batch -> {});
        Map<Long, Map<TotalsAggregator.Key, Totals>> byEpoch = new TreeMap<>();
        new LogReader(folder).read(LogReader.Position.START, new LogReader.Visitor() {
            @Override
            public void segment(Path file, LogHeader header) {
                if (byEpoch.isEmpty() && Files.exists(folder.checkpoint())) {
                    aggregator.setFirstSeq(header.epoch(), header.firstSeq());
                }
                aggregator.beginEpoch(header.epoch(), header.throughMs(), header.closings());
                byEpoch.computeIfAbsent(header.epoch(), epoch -> new HashMap<>());
            }

            @Override
            public void entry(LogHeader header, Entry entry) {
                if (++entriesRead % 100_000 == 0) {
                    progress.accept(entriesRead);
                }
                if (!aggregator.apply(header.epoch(), header.periodMs(), entry)
                        || startMs(header, entry) < completeFromMs) {
                    return;
                }
                Map<TotalsAggregator.Key, Totals> totals = byEpoch.get(header.epoch());
                if (entry instanceof Entry.Used used) {
                    retries.addRetry(source, header.periodMs(), used);
                    totals.computeIfAbsent(new TotalsAggregator.Key(Period.of(used.takenMs(), header.periodMs()),
                            used.tenant()), key -> new Totals()).add(used);
                } else if (entry instanceof Entry.Gap gap) {
                    totals.computeIfAbsent(new TotalsAggregator.Key(Period.of(gap.firstMs(), header.periodMs()),
                            gap.tenant()), key -> new Totals()).add(gap);
                }
            }
        });
        byEpoch.values()
                .forEach(totals -> totals.forEach((key, sums) -> addLastPeriodUsage(identity.instance(), key, sums)));
        Map<Long, Long> missing = new HashMap<>();
        aggregator.missingRanges()
                .forEach(range -> missing.merge(range.epoch(), range.to() - range.from() + 1, Long::sum));
        byEpoch.forEach((epoch, totals) -> reconciliation.add(new Reconciliation.EpochUsage(folder.path().toString(),
                identity.folder(), identity.instance(), epoch, aggregator.lastSeq().getOrDefault(epoch, 0L),
                missing.getOrDefault(epoch, 0L), totals)));
    }

    /** Returns the start of the period of an entry, or the maximum for an entry that is not usage. */
    private static long startMs(LogHeader header, Entry entry) {
        return entry instanceof Entry.Used used ? Period.of(used.takenMs(), header.periodMs()).startMs()
                : entry instanceof Entry.Gap gap ? Period.of(gap.firstMs(), header.periodMs()).startMs()
                : Long.MAX_VALUE;
    }

    private static long completeFrom(LedgerFolder folder) throws IOException {
        if (!Files.exists(folder.checkpoint()) || folder.segments().isEmpty()) {
            return Long.MIN_VALUE;
        }
        LogHeader first = new LogReader(folder).header(folder.segments().get(0));
        return first == null ? Long.MIN_VALUE : first.openedMs();
    }

    /** Returns the time before which some folder is incomplete, because its segments were compacted. */
    public long completeFromMs() {
        return completeFromMs;
    }

    private void addLastPeriodUsage(String instance, TotalsAggregator.Key key, Totals totals) {
        if (latestPeriod == null || key.period().compareTo(latestPeriod) > 0) {
            latestPeriod = key.period();
            // Instances without usage in the latest period keep a share too.
            lastPeriodUsage.values().forEach(used -> used.replaceAll((name, bytes) -> 0L));
        }
        Map<String, Long> used = lastPeriodUsage.computeIfAbsent(key.tenant(), tenant -> new TreeMap<>());
        used.merge(instance, key.period().equals(latestPeriod) ? totals.get(Totals.Sum.BYTES) : 0L, Long::sum);
    }

    /**
     * Returns the bytes by tenant and instance in the latest known period, from which the next shares are computed.
     */
    public Map<String, Map<String, Long>> lastPeriodUsage() {
        return lastPeriodUsage;
    }

    /** Compares the rows of all CSV batches in a folder with a report, for the periods in the batches. */
    public List<Difference> compare(Reconciliation.Report report, Path billed) throws IOException {
        TreeMap<TotalsAggregator.Key, Long> billedBytes = new TreeMap<>();
        try (Stream<Path> files = Files.walk(billed)) {
            for (Path file : files.filter(each -> each.toString().endsWith(".csv")).sorted().toList()) {
                try (Reader reader = Files.newBufferedReader(file)) {
                    BatchText.read(reader)
                            .forEach(row -> billedBytes.merge(row.key(), row.totals().get(Totals.Sum.BYTES),
                                    Long::sum));
                }
            }
        }
        TreeMap<TotalsAggregator.Key, Long> logged = new TreeMap<>();
        report.rows().forEach(row -> logged.put(row.key(), row.totals().get(Totals.Sum.BYTES)));
        billedBytes.keySet().removeIf(key -> key.period().startMs() < completeFromMs);
        return billedBytes.entrySet().stream()
                .filter(each -> !each.getValue().equals(logged.getOrDefault(each.getKey(), 0L)))
                .map(each -> new Difference(each.getKey(), logged.getOrDefault(each.getKey(), 0L), each.getValue()))
                .toList();
    }
}
