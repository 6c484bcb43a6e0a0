package clovermill.ledger.books;

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
 * Takes away old segments. What they came to is first put down in a checkpoint, from which the books can be made
 * again; nothing goes that was not exported and acknowledged, nor the last segment.
 */
public final class Compactor {

    /** What went. */
    public record Result(List<String> segments, long bytes) {}

    private Compactor() {}

    /** {@code mostDays} and {@code mostBytes} below 0 stand for no bound. */
    public static Result run(LedgerFolder folder, long nowMs, long mostDays, long mostBytes, Volume volume,
            LongConsumer progress) throws IOException {
        try (TotalsStore books = TotalsStore.open(folder)) {
            books.update(progress);
            long deliveredMs = books.batches().values().stream().filter(each -> each.acknowledged() != null)
                    .mapToLong(TotalsStore.BatchInfo::throughMs).max().orElse(Long.MIN_VALUE);
            for (TotalsStore.BatchInfo batch : books.batches().values()) {
                // Batches go out in their order, but one that was not acknowledged holds all behind it back.
                deliveredMs = batch.acknowledged() == null ? Math.min(deliveredMs, batch.fromMs()) : deliveredMs;
            }
            List<LedgerFolder.Segment> all = folder.segments();
            List<Retention.Segment> known = new ArrayList<>();
            Map<String, LedgerFolder.Segment> byName = new HashMap<>();
            LogReader reader = new LogReader(folder);
            for (int i = 0; i + 1 < all.size() && books.position().isAfter(all.get(i)); i++) {
                // The next header that can be read bounds what this segment and those before it hold.
                LogHeader next = reader.header(all.get(i + 1));
                if (next == null) {
                    break;
                }
                String name = all.get(i).file().getFileName().toString();
                byName.put(name, all.get(i));
                known.add(new Retention.Segment(name, Files.size(all.get(i).file()), next.openedMs()));
            }
            List<Retention.Segment> goes = Retention.expired(known, deliveredMs, nowMs, mostDays, mostBytes);
            if (goes.isEmpty()) {
                return new Result(List.of(), 0);
            }
            books.checkpoint(volume);
            CrashPoint.reached("compact.after-checkpoint");
            long bytes = 0;
            List<String> names = new ArrayList<>();
            for (Retention.Segment segment : goes) {
                volume.delete(byName.get(segment.name()).file());
                CrashPoint.reached("compact.deleted");
                names.add(segment.name());
                bytes += segment.bytes();
            }
            return new Result(names, bytes);
        }
    }
}
