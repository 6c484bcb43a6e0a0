package clovermill.ledger.totals;

import clovermill.ledger.LedgerFolder;
import clovermill.ledger.LogHeader;
import clovermill.ledger.LogReader;
import clovermill.ledger.decide.Entry;
import clovermill.ledger.decide.TotalsAggregator;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;

/**
 * The result of reading a whole log. Damage and missing records are faults; a torn tail, which a crash or an active
 * writer leaves, is only a note.
 */
public record Verification(long segments, long entries, long missing, long repeated, List<String> faults,
        List<String> notes) {

    private static final int MAX_FAULTS = 1000;

    /** Reads the log; {@code progress} receives the number of entries read. */
    public static Verification of(LedgerFolder folder, LongConsumer progress) throws IOException {
        List<String> faults = new ArrayList<>();
        List<String> notes = new ArrayList<>();
        TotalsAggregator aggregator = new TotalsAggregator(batch -> {});
        LedgerFolder.Identity identity = folder.identity();
        long[] counts = {0, 0};
        new LogReader(folder).read(LogReader.Position.START, new LogReader.Visitor() {
            @Override
            public void segment(Path file, LogHeader header) {
                counts[1]++;
                if (!header.folder().equals(identity.folder())) {
                    faults.add(file.getFileName() + " was written in another folder");
                }
                if (counts[1] == 1 && Files.exists(folder.checkpoint())) {
                    notes.add("all segments before " + file.getFileName() + " were compacted");
                    aggregator.setFirstSeq(header.epoch(), header.firstSeq());
                }
                aggregator.beginEpoch(header.epoch(), header.throughMs(), header.closings());
            }

            @Override
            public void entry(LogHeader header, Entry entry) {
                aggregator.apply(header.epoch(), header.periodMs(), entry);
                if (++counts[0] % 100_000 == 0) {
                    progress.accept(counts[0]);
                }
            }

            @Override
            public void damaged(Path file, long from, long to) {
                if (faults.size() < MAX_FAULTS) {
                    faults.add(file.getFileName() + ": bytes " + from + " to " + to + " are damaged");
                }
            }

            @Override
            public void torn(Path file, long bytes) {
                notes.add(file.getFileName() + ": " + bytes + " bytes at its end are not a complete record");
            }
        });
        progress.accept(counts[0]);
        for (TotalsAggregator.MissingRange range : aggregator.missingRanges().subList(0,
                Math.min(MAX_FAULTS, aggregator.missingRanges().size()))) {
            faults.add("epoch " + range.epoch() + ": records " + range.from() + " to " + range.to() + " are missing");
        }
        return new Verification(counts[1], aggregator.entries(), aggregator.missing(), aggregator.repeated(), faults,
                notes);
    }
}
