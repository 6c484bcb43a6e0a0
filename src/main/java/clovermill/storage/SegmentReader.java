package clovermill.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Reads the frames of one segment. A frame with a wrong checksum is reported as damaged and skipped: by its length if
 * a valid frame follows there, otherwise up to the next block. Invalid bytes up to the end of the file are its torn
 * tail, which a writer may still be extending.
 */
public final class SegmentReader {

    /** Receives the content of a segment in file order. */
    public interface Visitor {

        /** Handles a valid frame; {@code payload} is valid only during the call. Returns false to stop reading. */
        boolean frame(int type, ByteBuffer payload) throws IOException;

        /** Handles a range in the middle of the file that contains no valid frame. */
        void damaged(long from, long to);
    }

    /** The result of a read: the offset after the last valid frame, and the size of the file at that time. */
    public record ReadResult(long validEnd, long size) {

        /** Returns the number of bytes after the last valid frame. */
        public long tornBytes() {
            return size - validEnd;
        }
    }

    /** Thrown for a file of another format or of a later version. */
    public static final class UnknownFormatException extends IOException {

        private static final long serialVersionUID = 1L;

        UnknownFormatException(Path file, String found) {
            super(file + " is not a segment of a known format: it starts with '" + found + "'");
        }
    }

    private static final int WINDOW_BLOCKS = 32;

    private final FrameCodec codec = new FrameCodec();
    private final byte[] window = new byte[WINDOW_BLOCKS * SegmentLayout.BLOCK_BYTES];
    private final ByteBuffer view = ByteBuffer.wrap(window).order(FrameCodec.ORDER);
    /** The offset after the last valid frame, and after the last byte that belongs to a valid frame or is padding. */
    private long validEnd;
    private long classifiedEnd;
    private final ByteBuffer payload = ByteBuffer.wrap(window).order(FrameCodec.ORDER);

    /**
     * Reads from {@code from}, which is 0 or the start of a frame as returned by an earlier {@link
     * ReadResult#validEnd}.
     */
    public ReadResult read(Path file, String magic, long from, Visitor visitor) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
            if (from == 0 && !startsWith(channel, magic, file)) {
                return new ReadResult(0, channel.size());
            }
            validEnd = Math.max(from, SegmentLayout.MAGIC_BYTES);
            classifiedEnd = validEnd;
            long offset = validEnd;
            while (true) {
                long windowStart = offset - offset % SegmentLayout.BLOCK_BYTES;
                int bytesRead = fillWindow(channel, windowStart);
                boolean stopped = scan(windowStart, (int) (offset - windowStart), bytesRead, visitor);
                if (stopped || bytesRead < window.length) {
                    return new ReadResult(validEnd, windowStart + bytesRead);
                }
                offset = windowStart + window.length;
            }
        }
    }

    /**
     * Scans the window, which contains whole blocks except for the last of the file. Returns true if the visitor
     * stopped.
     */
    private boolean scan(long windowStart, int startOffset, int bytesRead, Visitor visitor) throws IOException {
        int offset = startOffset;
        while (offset < bytesRead) {
            int nextBlockStart = offset - offset % SegmentLayout.BLOCK_BYTES + SegmentLayout.BLOCK_BYTES;
            int blockEnd = Math.min(bytesRead, nextBlockStart);
            if (!isValid(offset, blockEnd)) {
                if (classifiedEnd == windowStart + offset && isZero(offset, blockEnd)) {
                    classifiedEnd = windowStart + blockEnd;
                }
                int next = blockEnd - offset < SegmentLayout.HEADER_BYTES ? blockEnd
                        : offset + SegmentLayout.HEADER_BYTES + length(offset);
                offset = next > offset + SegmentLayout.HEADER_BYTES && isValid(next, blockEnd) ? next : nextBlockStart;
                continue;
            }
            if (classifiedEnd < windowStart + offset) {
                visitor.damaged(classifiedEnd, windowStart + offset);
            }
            int length = length(offset);
            payload.limit(offset + SegmentLayout.HEADER_BYTES + length).position(offset + SegmentLayout.HEADER_BYTES);
            int type = FrameCodec.type(view, offset);
            offset += SegmentLayout.HEADER_BYTES + length;
            validEnd = windowStart + offset;
            classifiedEnd = validEnd;
            if (!visitor.frame(type, payload)) {
                return true;
            }
        }
        return false;
    }

    private boolean isZero(int from, int to) {
        for (int i = from; i < to; i++) {
            if (window[i] != 0) {
                return false;
            }
        }
        return true;
    }

    private int length(int offset) {
        return FrameCodec.length(view, offset);
    }

    private boolean isValid(int offset, int blockEnd) {
        return codec.isValid(view, offset, blockEnd);
    }

    private int fillWindow(FileChannel channel, long windowStart) throws IOException {
        ByteBuffer into = ByteBuffer.wrap(window);
        while (into.hasRemaining() && channel.read(into, windowStart + into.position()) > 0) {
            // repeat until the window is full or the file ends
        }
        return into.position();
    }

    /** Returns false for a file shorter than its magic, which a crash right after its creation leaves. */
    private static boolean startsWith(FileChannel channel, String magic, Path file) throws IOException {
        ByteBuffer start = ByteBuffer.allocate(SegmentLayout.MAGIC_BYTES);
        while (start.hasRemaining() && channel.read(start, start.position()) > 0) {
            // repeat until the magic is complete or the file ends
        }
        if (start.hasRemaining()) {
            return false;
        }
        String found = new String(start.array(), StandardCharsets.ISO_8859_1);
        if (!found.equals(magic)) {
            throw new UnknownFormatException(file, found.replaceAll("[^ -~]", "?"));
        }
        return true;
    }
}
