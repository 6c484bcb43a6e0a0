package clovermill.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Reads the frames of one segment. A frame that fails its check is told and passed over: by its length, if a
 * good frame follows there, and else up to the next block. What fails up to the end of the file is its torn
 * tail; it may still be being written.
 */
public final class SegmentReader {

    /** Told of everything in the order of the file. */
    public interface Visitor {

        /** A good frame; {@code payload} is valid only during the call. Returns false to stop. */
        boolean frame(int type, ByteBuffer payload) throws IOException;

        /** Bytes in the middle of the file that hold no good frame. */
        void damaged(long from, long to);
    }

    /** Where reading ended: behind the last good frame, and how long the file was then. */
    public record End(long good, long size) {

        /** Bytes after the last good frame. */
        public long torn() {
            return size - good;
        }
    }

    /** A file of another form, or of a later version. */
    public static final class Foreign extends IOException {

        private static final long serialVersionUID = 1L;

        Foreign(Path file, String found) {
            super(file + " is no segment of a form known here: it starts with '" + found + "'");
        }
    }

    private static final int BLOCKS_AT_ONCE = 32;

    private final FrameCodec codec = new FrameCodec();
    private final byte[] window = new byte[BLOCKS_AT_ONCE * Frames.BLOCK];
    private final ByteBuffer view = ByteBuffer.wrap(window).order(FrameCodec.ORDER);
    /** Behind the last good frame, and behind the last byte that is a good frame or padding. */
    private long good;
    private long accounted;
    private final ByteBuffer payload = ByteBuffer.wrap(window).order(FrameCodec.ORDER);

    /** Reads from {@code from}, the start of a frame as an earlier {@link End#good} told it, or 0. */
    public End read(Path file, String magic, long from, Visitor visitor) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
            if (from == 0 && !startsWith(channel, magic, file)) {
                return new End(0, channel.size());
            }
            good = Math.max(from, Frames.MAGIC);
            accounted = good;
            long at = good;
            while (true) {
                long base = at - at % Frames.BLOCK;
                int count = fill(channel, base);
                boolean stopped = scan(base, (int) (at - base), count, visitor);
                if (stopped || count < window.length) {
                    return new End(good, base + count);
                }
                at = base + window.length;
            }
        }
    }

    /** Goes through what the window holds: whole blocks but for the last of the file. True if told to stop. */
    private boolean scan(long base, int start, int count, Visitor visitor) throws IOException {
        int at = start;
        while (at < count) {
            int nextBlock = at - at % Frames.BLOCK + Frames.BLOCK;
            int blockEnd = Math.min(count, nextBlock);
            if (!isGood(at, blockEnd)) {
                if (accounted == base + at && isZero(at, blockEnd)) {
                    accounted = base + blockEnd;
                }
                int next = blockEnd - at < Frames.HEAD ? blockEnd : at + Frames.HEAD + length(at);
                at = next > at + Frames.HEAD && isGood(next, blockEnd) ? next : nextBlock;
                continue;
            }
            if (accounted < base + at) {
                visitor.damaged(accounted, base + at);
            }
            int length = length(at);
            payload.limit(at + Frames.HEAD + length).position(at + Frames.HEAD);
            int type = FrameCodec.type(view, at);
            at += Frames.HEAD + length;
            good = base + at;
            accounted = good;
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

    private int length(int at) {
        return FrameCodec.length(view, at);
    }

    private boolean isGood(int at, int blockEnd) {
        return codec.isGood(view, at, blockEnd);
    }

    private int fill(FileChannel channel, long base) throws IOException {
        ByteBuffer into = ByteBuffer.wrap(window);
        while (into.hasRemaining() && channel.read(into, base + into.position()) > 0) {
            // goes on until the window is full or the file ends
        }
        return into.position();
    }

    /** False for a file that is shorter than its magic: a crash came right after it was created. */
    private static boolean startsWith(FileChannel channel, String magic, Path file) throws IOException {
        ByteBuffer start = ByteBuffer.allocate(Frames.MAGIC);
        while (start.hasRemaining() && channel.read(start, start.position()) > 0) {
            // until it is whole or the file ends
        }
        if (start.hasRemaining()) {
            return false;
        }
        String found = new String(start.array(), StandardCharsets.ISO_8859_1);
        if (!found.equals(magic)) {
            throw new Foreign(file, found.replaceAll("[^ -~]", "?"));
        }
        return true;
    }
}
