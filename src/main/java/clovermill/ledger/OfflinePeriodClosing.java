package clovermill.ledger;

import clovermill.ledger.decide.ClosingWatermark;
import clovermill.ledger.decide.Entry;
import clovermill.storage.FolderLock;
import clovermill.storage.Volume;
import java.io.IOException;
import java.util.List;
import java.util.OptionalLong;

/** Closes the periods of a folder whose director is not running, also if it never runs again. */
public final class OfflinePeriodClosing {

    private OfflinePeriodClosing() {}

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
            StagingRecovery.run(folder, identity, Ledger.stagingFile(settings, identity), volume);
            StartState start = StartState.of(folder, false);
            if (start.throughMs() == Long.MIN_VALUE) {
                throw new IOException(folder.path() + " does not contain a segment yet");
            }
            OptionalLong closedThroughMs =
                    new ClosingWatermark(periodMs, settings.latenessS() * 1000, start.throughMs()).advance(nowMs);
            if (closedThroughMs.isEmpty()) {
                return start.throughMs();
            }
            long epoch = folder.nextEpoch(volume);
            StagingArea staging = new StagingArea(null, identity.folder(), epoch, 0);
            staging.offer(new Entry.Close(1, closedThroughMs.getAsLong(), start.closings() + 1, nowMs));
            staging.handOverNow();
            LedgerWriter writer = new LedgerWriter(folder, volume, staging, new LogHeader(identity.folder(),
                    identity.instance(), epoch, 1, 1, Math.max(nowMs, start.lastMs()),
                    start.throughMs(), start.closings(), periodMs, List.of()),
                    new LedgerWriter.Options(0, 1, 1 << 20, 100));
            writer.start(() -> {});
            writer.close(10_000);
            if (writer.isFailing()) {
                throw new IOException("cannot write the period closing");
            }
            return closedThroughMs.getAsLong();
        });
    }
}
