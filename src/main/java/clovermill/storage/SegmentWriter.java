package clovermill.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;

/**
 * Writes one segment of checked frames; see {@link SegmentReader} for the form. Frames are gathered until
 * {@link #flush}. After an exception the segment takes no more: what of the last frames stands in it is unknown,
 * and the reader finds out. Not thread-safe.
 */
public final class SegmentWriter implements AutoCloseable {

    private static final int GATHERED = 8 * Frames.BLOCK;

    private final Volume.Output output;
    private final FrameCodec codec = new FrameCodec();
    private final byte[] gathered = new byte[GATHERED];
    private final ByteBuffer view = ByteBuffer.wrap(gathered).order(FrameCodec.ORDER);
    private int fill;
    private long flushed;

    /** Creates the file; {@code magic} (8 letters) names its form and version. */
    public SegmentWriter(Volume volume, Path file, String magic) throws IOException {
        output = volume.create(file);
        byte[] letters = magic.getBytes(StandardCharsets.US_ASCII);
        if (letters.length != Frames.MAGIC) {
            throw new IllegalArgumentException("a magic has " + Frames.MAGIC + " letters");
        }
        System.arraycopy(letters, 0, gathered, 0, letters.length);
        fill = letters.length;
    }

    /** Adds a frame with the bytes that the payload has left, at most {@link #longest()}. */
    public void add(int type, ByteBuffer payload) throws IOException {
        int length = payload.remaining();
        if (length > Frames.LONGEST || type <= 0 || type > 255) {
            throw new IllegalArgumentException("a frame of type " + type + " with " + length + " bytes");
        }
        place(Frames.HEAD + length);
        fill = codec.put(view, fill, type, payload);
    }

    /** Adds a frame that was made by a {@link FrameCodec}, as it stands at a place of another buffer. */
    public void addFrame(ByteBuffer from, int at) throws IOException {
        int size = Frames.HEAD + FrameCodec.length(from, at);
        place(size);
        from.get(at, gathered, fill, size);
        fill += size;
    }

    /** Sees to it that a frame of such a size may stand at the present place. */
    private void place(int size) throws IOException {
        int space = Frames.BLOCK - (int) ((flushed + fill) % Frames.BLOCK);
        if (space < size) {
            if (fill + space > GATHERED) {
                flush();
            }
            Arrays.fill(gathered, fill, fill + space, (byte) 0);
            fill += space;
        }
        if (fill + size > GATHERED) {
            flush();
        }
    }

    /** The longest payload that a frame takes. */
    public static int longest() {
        return Frames.LONGEST;
    }

    /** Hands what was gathered to the operating system; it survives the end of the process from then on. */
    public void flush() throws IOException {
        if (fill > 0) {
            CrashPoint.reached("segment.before-write");
            output.write(ByteBuffer.wrap(gathered, 0, fill));
            flushed += fill;
            fill = 0;
            CrashPoint.reached("segment.after-write");
        }
    }

    /** Flushes, and returns when all would survive the loss of power. */
    public void force() throws IOException {
        flush();
        output.force();
        CrashPoint.reached("segment.after-sync");
    }

    /** Bytes of the segment so far. */
    public long size() {
        return flushed + fill;
    }

    /** Closes without a flush. */
    @Override
    public void close() throws IOException {
        output.close();
    }
}
