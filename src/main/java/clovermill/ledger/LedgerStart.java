package clovermill.ledger;

import clovermill.ledger.decide.TotalsAggregator;
import clovermill.ledger.decide.Entry;
import clovermill.ledger.decide.Totals;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * What a start must know of the log: what is closed, the latest time that was used, and, where tenants have
 * limits, the totals of the periods that are open. Reads the last segments only: none before one that was opened
 * when all that it could lack had been closed.
 */
record LedgerStart(long throughMs, long closings, long lastMs, Map<TotalsAggregator.Key, Totals> open) {

    static LedgerStart of(LedgerFolder folder, boolean totals) throws IOException {
        List<LedgerFolder.Segment> segments = folder.segments();
        LogReader reader = new LogReader(folder);
        long throughMs = Long.MIN_VALUE;
        int first = segments.size();
        boolean known = false;
        while (first > 0 && !known) {
            first--;
            LogHeader header = reader.header(segments.get(first));
            if (header != null) {
                throughMs = Math.max(throughMs, header.throughMs());
                known = !totals || header.openedMs() <= throughMs;
            }
        }
        TotalsAggregator aggregator = new TotalsAggregator(batch -> {});
        long[] openedMs = {Long.MIN_VALUE};
        LogReader.Visitor visitor = new LogReader.Visitor() {
            @Override
            public void segment(Path file, LogHeader header) {
                openedMs[0] = Math.max(openedMs[0], header.openedMs());
                aggregator.beginEpoch(header.epoch(), header.throughMs(), header.closings());
            }

            @Override
            public void entry(LogHeader header, Entry entry) {
                aggregator.apply(header.epoch(), header.periodMs(), entry);
            }
        };
        for (LedgerFolder.Segment segment : segments.subList(first, segments.size())) {
            reader.read(segment, 0, visitor);
        }
        return new LedgerStart(aggregator.throughMs(), aggregator.closings(),
                Math.max(openedMs[0], aggregator.lastMs()),
                aggregator.open());
    }
}
