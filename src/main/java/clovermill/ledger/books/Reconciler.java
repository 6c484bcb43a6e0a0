package clovermill.ledger.books;

import clovermill.ledger.LedgerFolder;
import clovermill.ledger.LogHeader;
import clovermill.ledger.LogReader;
import clovermill.ledger.decide.TotalsAggregator;
import clovermill.ledger.decide.Entry;
import clovermill.ledger.decide.Period;
import clovermill.ledger.decide.Reconciliation;
import clovermill.ledger.decide.DoubleServedRetries;
import clovermill.ledger.decide.Totals;
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

/** Reads the logs of several instances for a {@link Reconciliation}; changes nothing in them. */
public final class Reconciler {

    /** What {@code billed} and the logs differ by, for one tenant and period. */
    public record Difference(TotalsAggregator.Key key, long loggedBytes, long billedBytes) {}

    /** Retries that are held in memory at a time; some 100 bytes each. */
    private static final int MOST_RETRIES = 2_000_000;

    private final List<LedgerFolder> folders;
    private final LongConsumer progress;
    private final long windowMs;
    private final TreeMap<String, Map<String, Long>> lastPeriod = new TreeMap<>();
    private Period last;
    private long heldFromMs = Long.MIN_VALUE;
    private long read;

    /** Tries of one request are no further apart than {@code windowMs}. */
    public Reconciler(List<LedgerFolder> folders, long windowMs, LongConsumer progress) {
        this.folders = folders;
        this.windowMs = windowMs;
        this.progress = progress;
    }

    /** Reads every log twice. */
    public Reconciliation.Report run() throws IOException {
        Reconciliation reconciliation = new Reconciliation();
        DoubleServedRetries retries = new DoubleServedRetries(windowMs, MOST_RETRIES);
        for (LedgerFolder folder : folders) {
            heldFromMs = Math.max(heldFromMs, heldFrom(folder));
        }
        for (LedgerFolder folder : folders) {
            sum(folder, reconciliation, retries);
        }
        for (LedgerFolder folder : folders) {
            // By the folder's own id: a copy of it is no other instance.
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
        TotalsAggregator order = new TotalsAggregator(batch -> {});
        Map<Long, Map<TotalsAggregator.Key, Totals>> byEpoch = new TreeMap<>();
        new LogReader(folder).read(LogReader.Position.START, new LogReader.Visitor() {
            @Override
            public void segment(Path file, LogHeader header) {
                if (byEpoch.isEmpty() && Files.exists(folder.checkpoint())) {
                    order.setFirstSeq(header.epoch(), header.firstSeq());
                }
                order.beginEpoch(header.epoch(), header.throughMs(), header.closings());
                byEpoch.computeIfAbsent(header.epoch(), epoch -> new HashMap<>());
            }

            @Override
            public void entry(LogHeader header, Entry entry) {
                if (++read % 100_000 == 0) {
                    progress.accept(read);
                }
                if (!order.apply(header.epoch(), header.periodMs(), entry) || startMs(header, entry) < heldFromMs) {
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
        byEpoch.values().forEach(totals -> totals.forEach((key, sums) -> use(identity.instance(), key, sums)));
        Map<Long, Long> missing = new HashMap<>();
        order.missingRanges().forEach(hole -> missing.merge(hole.epoch(), hole.to() - hole.from() + 1, Long::sum));
        byEpoch.forEach((epoch, totals) -> reconciliation.add(new Reconciliation.EpochUsage(folder.path().toString(),
                identity.folder(), identity.instance(), epoch, order.lastSeq().getOrDefault(epoch, 0L),
                missing.getOrDefault(epoch, 0L), totals)));
    }

    /** The start of the period that an entry belongs to; what is no use belongs to all. */
    private static long startMs(LogHeader header, Entry entry) {
        return entry instanceof Entry.Used used ? Period.of(used.takenMs(), header.periodMs()).startMs()
                : entry instanceof Entry.Gap gap ? Period.of(gap.firstMs(), header.periodMs()).startMs()
                : Long.MAX_VALUE;
    }

    private static long heldFrom(LedgerFolder folder) throws IOException {
        if (!Files.exists(folder.checkpoint()) || folder.segments().isEmpty()) {
            return Long.MIN_VALUE;
        }
        LogHeader first = new LogReader(folder).header(folder.segments().get(0));
        return first == null ? Long.MIN_VALUE : first.openedMs();
    }

    /** Before this time some folder holds no longer all: its segments were compacted. */
    public long heldFromMs() {
        return heldFromMs;
    }

    private void use(String instance, TotalsAggregator.Key key, Totals totals) {
        if (last == null || key.period().compareTo(last) > 0) {
            last = key.period();
            // Instances without use in the latest period keep a share too.
            lastPeriod.values().forEach(used -> used.replaceAll((name, bytes) -> 0L));
        }
        Map<String, Long> used = lastPeriod.computeIfAbsent(key.tenant(), tenant -> new TreeMap<>());
        used.merge(instance, key.period().equals(last) ? totals.get(Totals.Sum.BYTES) : 0L, Long::sum);
    }

    /** Bytes by tenant and instance in the latest period that is known, which the next shares go by. */
    public Map<String, Map<String, Long>> lastPeriod() {
        return lastPeriod;
    }

    /** Compares the rows of all CSV batches in a folder with a report, for the periods that were billed. */
    public List<Difference> compare(Reconciliation.Report report, Path billed) throws IOException {
        TreeMap<TotalsAggregator.Key, Long> sums = new TreeMap<>();
        try (Stream<Path> files = Files.walk(billed)) {
            for (Path file : files.filter(each -> each.toString().endsWith(".csv")).sorted().toList()) {
                try (Reader reader = Files.newBufferedReader(file)) {
                    BatchText.read(reader).forEach(row -> sums.merge(row.key(), row.totals().get(Totals.Sum.BYTES),
                            Long::sum));
                }
            }
        }
        TreeMap<TotalsAggregator.Key, Long> logged = new TreeMap<>();
        report.rows().forEach(row -> logged.put(row.key(), row.totals().get(Totals.Sum.BYTES)));
        sums.keySet().removeIf(key -> key.period().startMs() < heldFromMs);
        return sums.entrySet().stream().filter(each -> !each.getValue().equals(logged.getOrDefault(each.getKey(), 0L)))
                .map(each -> new Difference(each.getKey(), logged.getOrDefault(each.getKey(), 0L), each.getValue()))
                .toList();
    }
}
