package clovermill.ledger;

import clovermill.ledger.decide.ClosingWatermark;
import clovermill.ledger.decide.Entry;
import clovermill.storage.FolderLock;
import clovermill.storage.Volume;
import java.io.IOException;
import java.util.List;
import java.util.OptionalLong;

/** Closes periods of a folder whose director does not run, or never will again. */
public final class PeriodCloser {

    private PeriodCloser() {}

    /**
     * Writes the leftover staged entries of a killed director to the log and closes the periods that ended by {@code
     * nowMs} less the lateness of the settings. Throws {@link FolderLock.AlreadyLockedException} while a director
     * writes: it closes periods itself.
     *
     * @return the time through which periods are closed now
     */
    public static long close(LedgerFolder folder, LedgerSettings settings, long nowMs, Volume volume)
            throws IOException {
        long periodMs = settings.periodMs();
        LedgerFolder.Identity identity = folder.identity();
        return FolderLock.withLock(folder.writerLock(), () -> {
            StagingRecovery.run(folder, identity, Ledger.staged(settings, identity), volume);
            LedgerStart start = LedgerStart.of(folder, false);
            if (start.throughMs() == Long.MIN_VALUE) {
                throw new IOException(folder.path() + " holds no segment yet");
            }
            OptionalLong due =
                    new ClosingWatermark(periodMs, settings.latenessS() * 1000, start.throughMs()).advance(nowMs);
            if (due.isEmpty()) {
                return start.throughMs();
            }
            long epoch = folder.nextEpoch(volume);
            StagingArea stage = new StagingArea(null, identity.folder(), epoch, 0);
            stage.offer(new Entry.Close(1, due.getAsLong(), start.closings() + 1, nowMs));
            stage.handOverLast();
            LedgerWriter writer = new LedgerWriter(folder, volume, stage, new LogHeader(identity.folder(),
                    identity.instance(), epoch, 1, 1, Math.max(nowMs, start.lastMs()),
                    start.throughMs(), start.closings(), periodMs, List.of()),
                    new LedgerWriter.Terms(0, 1, 1 << 20, 100));
            writer.start(() -> {});
            writer.close(10_000);
            if (writer.failing()) {
                throw new IOException("the closing could not be written");
            }
            return due.getAsLong();
        });
    }
}
