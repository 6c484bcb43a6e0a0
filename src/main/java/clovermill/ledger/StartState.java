package clovermill.ledger;

import clovermill.ledger.decide.Entry;
import clovermill.ledger.decide.Totals;
import clovermill.ledger.decide.TotalsAggregator;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * The state of the log that a start needs: through when periods are closed, the latest time used, and, if tenants
 * have limits, the totals of open periods. Reads only the last segments: none before one that was opened when all
 * periods of earlier entries had been closed.
 */
record StartState(long throughMs, long closings, long lastMs, Map<TotalsAggregator.Key, Totals> open) {

    static StartState of(LedgerFolder folder, boolean needsTotals) throws IOException {
        List<LedgerFolder.Segment> segments = folder.segments();
        LogReader reader = new LogReader(folder);
        long throughMs = Long.MIN_VALUE;
        int firstSegment = segments.size();
        boolean complete = false;
        while (firstSegment > 0 && !complete) {
            firstSegment--;
            LogHeader header = reader.header(segments.get(firstSegment));
            if (header != null) {
                throughMs = Math.max(throughMs, header.throughMs());
                complete = !needsTotals || header.openedMs() <= throughMs;
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
        for (LedgerFolder.Segment segment : segments.subList(firstSegment, segments.size())) {
            reader.read(segment, 0, visitor);
        }
        return new StartState(aggregator.throughMs(), aggregator.closings(),
                Math.max(openedMs[0], aggregator.lastMs()), aggregator.open());
    }
}
