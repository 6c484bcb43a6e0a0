package clovermill.ledger;

import clovermill.storage.CrashPoint;
import clovermill.storage.SegmentWriter;
import clovermill.storage.Volume;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Recovers the entries that a killed process had staged but not written, into a new segment of their epoch. */
final class StagingRecovery {

    private static final System.Logger LOG = System.getLogger(StagingRecovery.class.getName());

    private StagingRecovery() {}

    /** Runs the recovery, which can be repeated if it is interrupted; {@code stagingFile} may be null or absent. */
    static void run(LedgerFolder folder, LedgerFolder.Identity identity, Path stagingFile, Volume volume)
            throws IOException {
        StagingArea.Leftover leftover = StagingArea.readLeftover(stagingFile);
        if (leftover == null) {
            return;
        }
        List<LedgerFolder.Segment> segments = folder.segments().stream()
                .filter(each -> each.epoch() == leftover.epoch()).toList();
        if (leftover.folder().equals(identity.folder()) && !segments.isEmpty()) {
            write(folder, leftover, segments, volume);
        }
        CrashPoint.reached("rescue.before-delete");
        Files.deleteIfExists(stagingFile);
    }

    private static void write(LedgerFolder folder, StagingArea.Leftover leftover, List<LedgerFolder.Segment> segments,
            Volume volume) throws IOException {
        RecoveryPoint recoveryPoint = findRecoveryPoint(folder, segments);
        if (recoveryPoint == null) {
            return;
        }
        var missing = leftover.frames().tailMap(recoveryPoint.throughSeq, false);
        if (missing.isEmpty()) {
            return;
        }
        LogHeader lastHeader = recoveryPoint.header;
        StartState startState = StartState.of(folder, false);
        int number = segments.get(segments.size() - 1).number() + 1;
        Path file = folder.segment(leftover.epoch(), number);
        try (SegmentWriter writer = new SegmentWriter(volume, file, LogFormat.MAGIC)) {
            writer.add(LogFormat.HEADER, new LogFormat().write(new LogHeader(lastHeader.folder(), lastHeader.instance(),
                    leftover.epoch(), number, missing.firstKey(), Math.max(lastHeader.openedMs(), startState.lastMs()),
                    startState.throughMs(), startState.closings(), lastHeader.periodMs(), lastHeader.classes())));
            for (ByteBuffer frame : missing.values()) {
                writer.addFrame(frame, 0);
                CrashPoint.reached("rescue.append");
            }
            writer.force();
        } catch (IOException failure) {
            // A segment whose sync failed must not be taken for written by the next start.
            deleteSegment(file, volume, failure);
            throw failure;
        }
        LOG.log(Level.INFO, "recovered {0} records that a killed process had staged",
                Integer.toString(missing.size()));
    }

    /** The last readable header, and the sequence number through which all entries are known to be written. */
    private record RecoveryPoint(LogHeader header, long throughSeq) {}

    /**
     * Trusts what was synced before the last segment was opened, and of that segment the entries without a sequence
     * gap: after a gap a sync has failed, and all of its entries are still staged.
     */
    private static RecoveryPoint findRecoveryPoint(LedgerFolder folder, List<LedgerFolder.Segment> segments)
            throws IOException {
        LogReader reader = new LogReader(folder);
        int last = segments.size() - 1;
        for (int i = last; i >= 0; i--) {
            LogHeader header = reader.header(segments.get(i));
            if (header != null) {
                long before = header.firstSeq() - 1;
                return new RecoveryPoint(header,
                        i < last ? before : lastSeqWithoutGap(before, reader, segments.get(i)));
            }
        }
        return null;
    }

    private static long lastSeqWithoutGap(long before, LogReader reader, LedgerFolder.Segment segment)
            throws IOException {
        long[] through = {before};
        reader.read(segment, 0, (header, entry) -> through[0] += entry.seq() == through[0] + 1 ? 1 : 0);
        return through[0];
    }

    private static void deleteSegment(Path file, Volume volume, IOException failure) {
        try {
            volume.delete(file);
        } catch (IOException deleteFailure) {
            failure.addSuppressed(deleteFailure);
        }
    }
}
