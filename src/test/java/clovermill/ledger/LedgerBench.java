package clovermill.ledger;

import clovermill.dataplane.proxy.UsageRecord;
import clovermill.ledger.decide.ContentSource;
import clovermill.ledger.decide.Entry;
import clovermill.ledger.totals.TotalsStore;
import clovermill.storage.SegmentWriter;
import clovermill.storage.Volume;
import java.io.IOException;
import java.util.List;

/** A benchmark of the log alone, on one thread: appending with syncs as in production, and reading. */
public final class LedgerBench {

    /**
     * Records appended per second, seconds of a start with limits, seconds of building the totals store, and bytes of
     * the log.
     */
    public record Result(double appendPerS, double startS, double totalsS, long bytes) {}

    private static final int TENANTS = 100_000;
    private static final long HOUR = 3_600_000;

    private LedgerBench() {}

    private static Entry.Used used(long seq) {
        long takenMs = 1000 * HOUR + seq / 5000;
        return new Entry.Used(seq, takenMs, takenMs, takenMs * 1000, seq * 31, seq * 17, "tenant-" + seq / 7 % TENANTS,
                (int) (seq % 3), UsageRecord.End.SERVED, ContentSource.HIT, 1, false, 10_000, 0, 0);
    }

    /** Writes {@code records} records in one open period and reads them. */
    public static Result run(LedgerFolder folder, int records) throws IOException {
        Volume disk = Volume.local();
        LedgerFolder.Identity identity = folder.claim(disk, "bench");
        long epoch = folder.nextEpoch(disk);
        LogFormat format = new LogFormat();
        Entry.Used[] cachedEntries = new Entry.Used[1_000_000];
        for (int i = 0; i < cachedEntries.length; i++) {
            cachedEntries[i] = used(i + 1);
        }
        long bytes = 0;
        long appendNs = 0;
        long seq = 0;
        for (int number = 1; seq < records; number++) {
            SegmentWriter writer = new SegmentWriter(disk, folder.segment(epoch, number), LogFormat.MAGIC);
            writer.add(LogFormat.HEADER, format.write(new LogHeader(identity.folder(), "bench", epoch, number,
                    seq + 1, 1000 * HOUR + seq / 5000, 999 * HOUR, 0, HOUR, List.of("page", "order", "video"))));
            long synced = 0;
            long fromNs = System.nanoTime();
            while (seq < records && writer.size() < 64 << 20) {
                Entry.Used next = cachedEntries[(int) (seq % cachedEntries.length)];
                seq++;
                Entry.Used entry = next.seq() == seq ? next : new Entry.Used(seq, next.takenMs(), next.wallMs(),
                        next.monoUs(), next.request(), next.tryKey(), next.tenant(), next.requestClass(), next.end(),
                        next.how(), 1, false, next.written(), 0, 0);
                writer.add(LogFormat.USED, format.write(entry));
                if (writer.size() - synced >= 512 << 10) {
                    writer.force();
                    synced = writer.size();
                }
            }
            writer.force();
            appendNs += System.nanoTime() - fromNs;
            bytes += writer.size();
            writer.close();
        }
        long startNs = System.nanoTime();
        StartState start = StartState.of(folder, true);
        double startS = (System.nanoTime() - startNs) / 1e9;
        if (start.open().size() != Math.min(TENANTS, records / 7)) {
            throw new IllegalStateException(start.open().size() + " tenants were read");
        }
        long totalsNs = System.nanoTime();
        try (TotalsStore store = TotalsStore.open(folder)) {
            store.update(read -> {});
            if (store.aggregator().entries() != records) {
                throw new IllegalStateException(store.aggregator().entries() + " records were read");
            }
        }
        return new Result(records / (appendNs / 1e9), startS, (System.nanoTime() - totalsNs) / 1e9, bytes);
    }
}
