package clovermill.ledger.books;

import clovermill.ledger.LedgerFolder;
import clovermill.ledger.LogHeader;
import clovermill.ledger.LogReader;
import clovermill.ledger.decide.TotalsAggregator;
import clovermill.ledger.decide.Entry;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;

/**
 * Reads a whole log and tells what is wrong with it. Damage and missing records are faults; a torn tail is what a
 * crash or a writer at work leaves, and is told without being one.
 */
public record Verification(long segments, long entries, long missing, long repeated, List<String> faults,
        List<String> notes) {

    private static final int MOST_TOLD = 1000;

    /** Reads; {@code progress} hears how many entries were read. */
    public static Verification of(LedgerFolder folder, LongConsumer progress) throws IOException {
        List<String> faults = new ArrayList<>();
        List<String> notes = new ArrayList<>();
        TotalsAggregator aggregator = new TotalsAggregator(batch -> {});
        LedgerFolder.Identity identity = folder.identity();
        long[] read = {0, 0};
        new LogReader(folder).read(LogReader.Position.START, new LogReader.Visitor() {
            @Override
            public void segment(Path file, LogHeader header) {
                read[1]++;
                if (!header.folder().equals(identity.folder())) {
                    faults.add(file.getFileName() + " was written in another folder");
                }
                if (read[1] == 1 && Files.exists(folder.checkpoint())) {
                    notes.add("all before " + file.getFileName() + " was compacted");
                    aggregator.setFirstSeq(header.epoch(), header.firstSeq());
                }
                aggregator.beginEpoch(header.epoch(), header.throughMs(), header.closings());
            }

            @Override
            public void entry(LogHeader header, Entry entry) {
                aggregator.apply(header.epoch(), header.periodMs(), entry);
                if (++read[0] % 100_000 == 0) {
                    progress.accept(read[0]);
                }
            }

            @Override
            public void damaged(Path file, long from, long to) {
                if (faults.size() < MOST_TOLD) {
                    faults.add(file.getFileName() + ": bytes " + from + " to " + to + " are damaged");
                }
            }

            @Override
            public void torn(Path file, long bytes) {
                notes.add(file.getFileName() + ": " + bytes + " bytes at its end are no whole records");
            }
        });
        progress.accept(read[0]);
        for (TotalsAggregator.MissingRange hole : aggregator.missingRanges().subList(0,
                Math.min(MOST_TOLD, aggregator.missingRanges().size()))) {
            faults.add("epoch " + hole.epoch() + ": records " + hole.from() + " to " + hole.to() + " are missing");
        }
        return new Verification(read[1], aggregator.entries(), aggregator.missing(), aggregator.repeated(), faults,
                notes);
    }
}
