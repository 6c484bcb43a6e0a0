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

/** Takes over what a process that was killed had staged and not yet written, into a segment of its epoch. */
final class StagingRecovery {

    private static final System.Logger LOG = System.getLogger(StagingRecovery.class.getName());

    private StagingRecovery() {}

    /** Does so, as often as it is cut short; {@code staged} may be null or not there. */
    static void run(LedgerFolder folder, LedgerFolder.Identity identity, Path staged, Volume volume)
            throws IOException {
        StagingArea.Left left = StagingArea.left(staged);
        if (left == null) {
            return;
        }
        List<LedgerFolder.Segment> segments = folder.segments().stream()
                .filter(each -> each.epoch() == left.epoch()).toList();
        if (left.folder().equals(identity.folder()) && !segments.isEmpty()) {
            write(folder, left, segments, volume);
        }
        CrashPoint.reached("rescue.before-delete");
        Files.deleteIfExists(staged);
    }

    private static void write(LedgerFolder folder, StagingArea.Left left, List<LedgerFolder.Segment> segments,
            Volume volume) throws IOException {
        Found found = find(folder, segments);
        if (found == null) {
            return;
        }
        var missing = left.frames().tailMap(found.throughSeq, false);
        if (missing.isEmpty()) {
            return;
        }
        LogHeader known = found.header;
        LedgerStart state = LedgerStart.of(folder, false);
        int number = segments.get(segments.size() - 1).number() + 1;
        Path file = folder.segment(left.epoch(), number);
        try (SegmentWriter writer = new SegmentWriter(volume, file, LogFormat.MAGIC)) {
            writer.add(LogFormat.HEADER, new LogFormat().write(new LogHeader(known.folder(), known.instance(),
                    left.epoch(), number, missing.firstKey(), Math.max(known.openedMs(), state.lastMs()),
                    state.throughMs(), state.closings(), known.periodMs(), known.classes())));
            for (ByteBuffer frame : missing.values()) {
                writer.addFrame(frame, 0);
                CrashPoint.reached("rescue.append");
            }
            writer.force();
        } catch (IOException failure) {
            // What a sync that failed left in memory must not pass for written at the next start.
            remove(file, volume, failure);
            throw failure;
        }
        LOG.log(Level.INFO, "{0} records that a killed process had staged are written down now",
                Integer.toString(missing.size()));
    }

    /** The last header that can be read, and the sequence through which all is known to be written. */
    private record Found(LogHeader header, long throughSeq) {}

    /**
     * Believes what was synced before the last segment was opened, and of that segment what stands there without a gap:
     * behind a gap a sync has failed, and all that it was for is still staged.
     */
    private static Found find(LedgerFolder folder, List<LedgerFolder.Segment> segments) throws IOException {
        LogReader reader = new LogReader(folder);
        int last = segments.size() - 1;
        for (int i = last; i >= 0; i--) {
            LogHeader header = reader.header(segments.get(i));
            if (header != null) {
                long before = header.firstSeq() - 1;
                return new Found(header, i < last ? before : unbrokenFrom(before, reader, segments.get(i)));
            }
        }
        return null;
    }

    private static long unbrokenFrom(long before, LogReader reader, LedgerFolder.Segment segment) throws IOException {
        long[] through = {before};
        reader.read(segment, 0, (header, entry) -> through[0] += entry.seq() == through[0] + 1 ? 1 : 0);
        return through[0];
    }

    private static void remove(Path file, Volume volume, IOException first) {
        try {
            volume.delete(file);
        } catch (IOException second) {
            first.addSuppressed(second);
        }
    }
}
