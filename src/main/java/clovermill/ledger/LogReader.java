package clovermill.ledger;

import clovermill.ledger.decide.Entry;
import clovermill.storage.SegmentReader;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.UUID;

/** Reads a folder's log in its order, as often as one likes, also while a director writes. */
public final class LogReader {

    /** Told of all that the log holds. */
    public interface Visitor {

        /** A segment begins; where its header cannot be read, {@code header} is that before, as far as known. */
        default void segment(Path file, LogHeader header) throws IOException {}

        /** An entry of the segment that was told last. */
        void entry(LogHeader header, Entry entry) throws IOException;

        /** Bytes of a segment's middle that hold no good frame. */
        default void damaged(Path file, long from, long to) {}

        /** Bytes after the last good frame of a segment: cut off by a crash, or still being written. */
        default void torn(Path file, long bytes) {}
    }

    /** Where reading stopped: behind this byte of this segment. The start of a log is {@link #START}. */
    public record Position(long epoch, int number, long offset) {

        /** Before the first segment. */
        public static final Position START = new Position(0, 0, 0);

        /** Whether all of a segment lies before this. */
        public boolean isBehind(LedgerFolder.Segment segment) {
            return epoch > segment.epoch() || epoch == segment.epoch() && number > segment.number();
        }

        /** Whether this lies in a segment. */
        public boolean isIn(LedgerFolder.Segment segment) {
            return epoch == segment.epoch() && number == segment.number();
        }
    }

    private final LedgerFolder folder;
    private final SegmentReader reader = new SegmentReader();
    private final LogFormat format = new LogFormat();
    private LogHeader header;

    /** Reads the segments of a ledger folder; nothing is opened yet. */
    public LogReader(LedgerFolder folder) {
        this.folder = folder;
    }

    /** Reads what stands behind a position; returns the new one. */
    public Position read(Position from, Visitor visitor) throws IOException {
        Position at = from;
        for (LedgerFolder.Segment segment : folder.segments()) {
            if (!from.isBehind(segment)) {
                at = read(segment, from.isIn(segment) ? from.offset() : 0, visitor);
            }
        }
        return at;
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
        boolean[] begun = {false};
        header = stand(segment);
        if (offset > 0) {
            readHeader(segment);
            begin(segment, begun, visitor);
        }
        SegmentReader.ReadResult end =
                reader.read(segment.file(), LogFormat.MAGIC, offset, new SegmentReader.Visitor() {
                    @Override
                    public boolean frame(int type, ByteBuffer payload) throws IOException {
                        if (type == LogFormat.HEADER) {
                            header = LogFormat.readHeader(payload);
                            begin(segment, begun, visitor);
                            return true;
                        }
                        begin(segment, begun, visitor);
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

    private void begin(LedgerFolder.Segment segment, boolean[] begun, Visitor visitor) throws IOException {
        if (!begun[0]) {
            begun[0] = true;
            visitor.segment(segment.file(), header);
        }
    }

    /** The header of a segment; null where it has none that can be read. */
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
                // told when the segment itself is read
            }
        });
    }

    /** Stands in for a header that is damaged: as the segment before told, under the numbers of the file's name. */
    private LogHeader stand(LedgerFolder.Segment segment) throws IOException {
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
