package clovermill.ledger;

import clovermill.ledger.decide.Entry;
import clovermill.storage.SegmentReader;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.UUID;

/** Reads the log of a folder in order, any number of times, also while a director writes. */
public final class LogReader {

    /** Receives the content of the log. */
    public interface Visitor {

        /**
         * Handles the start of a segment; {@code header} is derived from the previous one if that of the segment
         * cannot be read.
         */
        default void segment(Path file, LogHeader header) throws IOException {}

        /** Handles an entry of the current segment. */
        void entry(LogHeader header, Entry entry) throws IOException;

        /** Handles a range in the middle of a segment that contains no valid frame. */
        default void damaged(Path file, long from, long to) {}

        /** Handles bytes after the last valid frame of a segment: truncated by a crash, or still being written. */
        default void torn(Path file, long bytes) {}
    }

    /** A position in the log: an offset in a segment. The start of a log is {@link #START}. */
    public record Position(long epoch, int number, long offset) {

        /** The position before the first segment. */
        public static final Position START = new Position(0, 0, 0);

        /** Returns whether this position is after the whole segment. */
        public boolean isAfter(LedgerFolder.Segment segment) {
            return epoch > segment.epoch() || epoch == segment.epoch() && number > segment.number();
        }

        /** Returns whether this position is in the segment. */
        public boolean isIn(LedgerFolder.Segment segment) {
            return epoch == segment.epoch() && number == segment.number();
        }
    }

    private final LedgerFolder folder;
    private final SegmentReader reader = new SegmentReader();
    private final LogFormat format = new LogFormat();
    private LogHeader header;

    /** Creates a reader for a ledger folder; opens no file yet. */
    public LogReader(LedgerFolder folder) {
        this.folder = folder;
    }

    /** Reads everything after a position; returns the new position. */
    public Position read(Position from, Visitor visitor) throws IOException {
        Position position = from;
        for (LedgerFolder.Segment segment : folder.segments()) {
            if (!from.isAfter(segment)) {
                position = read(segment, from.isIn(segment) ? from.offset() : 0, visitor);
            }
        }
        return position;
    }

    /** Reads one segment from an offset. */
    public Position read(LedgerFolder.Segment segment, long offset, Visitor visitor) throws IOException {
        try {
            return readSegment(segment, offset, visitor);
        } catch (NoSuchFileException compacted) {
            return new Position(segment.epoch(), segment.number(), offset);
        }
    }

    private Position readSegment(LedgerFolder.Segment segment, long offset, Visitor visitor) throws IOException {
        boolean[] started = {false};
        header = substituteHeader(segment);
        if (offset > 0) {
            readHeader(segment);
            startSegment(segment, started, visitor);
        }
        SegmentReader.ReadResult end =
                reader.read(segment.file(), LogFormat.MAGIC, offset, new SegmentReader.Visitor() {
                    @Override
                    public boolean frame(int type, ByteBuffer payload) throws IOException {
                        if (type == LogFormat.HEADER) {
                            header = LogFormat.readHeader(payload);
                            startSegment(segment, started, visitor);
                            return true;
                        }
                        startSegment(segment, started, visitor);
                        Entry entry = format.read(type, payload);
                        if (entry != null) {
                            visitor.entry(header, entry);
                        }
                        return true;
                    }

                    @Override
                    public void damaged(long from, long to) {
                        visitor.damaged(segment.file(), from, to);
                    }
                });
        if (end.tornBytes() > 0) {
            visitor.torn(segment.file(), end.tornBytes());
        }
        return new Position(segment.epoch(), segment.number(), end.validEnd());
    }

    private void startSegment(LedgerFolder.Segment segment, boolean[] started, Visitor visitor) throws IOException {
        if (!started[0]) {
            started[0] = true;
            visitor.segment(segment.file(), header);
        }
    }

    /** Returns the header of a segment; null if it cannot be read. */
    public LogHeader header(LedgerFolder.Segment segment) throws IOException {
        LogHeader before = header;
        header = null;
        readHeader(segment);
        LogHeader found = header;
        header = before;
        return found;
    }

    private void readHeader(LedgerFolder.Segment segment) throws IOException {
        reader.read(segment.file(), LogFormat.MAGIC, 0, new SegmentReader.Visitor() {
            @Override
            public boolean frame(int type, ByteBuffer payload) throws IOException {
                if (type == LogFormat.HEADER) {
                    header = LogFormat.readHeader(payload);
                }
                return false;
            }

            @Override
            public void damaged(long from, long to) {
                // reported when the segment itself is read
            }
        });
    }

    /**
     * Returns a substitute for a damaged header: the fields of the previous segment with the numbers of the file
     * name.
     */
    private LogHeader substituteHeader(LedgerFolder.Segment segment) throws IOException {
        if (header == null) {
            LedgerFolder.Identity identity;
            try {
                identity = folder.identity();
            } catch (IOException unknown) {
                identity = new LedgerFolder.Identity(new UUID(0, 0), "unknown");
            }
            return new LogHeader(identity.folder(), identity.instance(), segment.epoch(), segment.number(), 1, 0,
                    Long.MIN_VALUE, 0, 3_600_000, List.of());
        }
        return new LogHeader(header.folder(), header.instance(), segment.epoch(), segment.number(), 1,
                header.openedMs(), header.throughMs(), header.closings(), header.periodMs(), header.classes());
    }
}
