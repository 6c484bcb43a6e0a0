package clovermill.ledger.totals;

import clovermill.ledger.LedgerFolder;
import clovermill.ledger.LogHeader;
import clovermill.ledger.LogReader;
import clovermill.ledger.decide.Retention;
import clovermill.storage.CrashPoint;
import clovermill.storage.Volume;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

/**
 * Deletes old segments. First writes a checkpoint with their totals, from which the totals store can be rebuilt.
 * Deletes no segment with usage that was not exported and acknowledged, nor the last segment.
 */
public final class Compactor {

    /** The deleted segments and their total size. */
    public record Result(List<String> segments, long bytes) {}

    private Compactor() {}

    /** Compacts a folder; negative {@code maxDays} or {@code maxBytes} mean no limit. */
    public static Result run(LedgerFolder folder, long nowMs, long maxDays, long maxBytes, Volume volume,
            LongConsumer progress) throws IOException {
        try (TotalsStore store = TotalsStore.open(folder)) {
            store.update(progress);
            long deliveredMs = store.batches().values().stream().filter(each -> each.acknowledged() != null)
                    .mapToLong(TotalsStore.BatchInfo::throughMs).max().orElse(Long.MIN_VALUE);
            for (TotalsStore.BatchInfo batch : store.batches().values()) {
                // Batches are delivered in order, but an unacknowledged one prevents the deletion of all later ones.
                deliveredMs = batch.acknowledged() == null ? Math.min(deliveredMs, batch.fromMs()) : deliveredMs;
            }
            List<LedgerFolder.Segment> segments = folder.segments();
            List<Retention.Segment> candidates = new ArrayList<>();
            Map<String, LedgerFolder.Segment> byName = new HashMap<>();
            LogReader reader = new LogReader(folder);
            for (int i = 0; i + 1 < segments.size() && store.position().isAfter(segments.get(i)); i++) {
                // The next readable header is an upper bound for the times in this segment and those before it.
                LogHeader next = reader.header(segments.get(i + 1));
                if (next == null) {
                    break;
                }
                String name = segments.get(i).file().getFileName().toString();
                byName.put(name, segments.get(i));
                candidates.add(new Retention.Segment(name, Files.size(segments.get(i).file()), next.openedMs()));
            }
            List<Retention.Segment> expired = Retention.expired(candidates, deliveredMs, nowMs, maxDays, maxBytes);
            if (expired.isEmpty()) {
                return new Result(List.of(), 0);
            }
            store.checkpoint(volume);
            CrashPoint.reached("compact.after-checkpoint");
            long bytes = 0;
            List<String> names = new ArrayList<>();
            for (Retention.Segment segment : expired) {
                volume.delete(byName.get(segment.name()).file());
                CrashPoint.reached("compact.deleted");
                names.add(segment.name());
                bytes += segment.bytes();
            }
            return new Result(names, bytes);
        }
    }
}
