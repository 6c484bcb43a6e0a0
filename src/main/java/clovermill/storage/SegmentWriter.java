package clovermill.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;

/**
 * Writes one segment of frames with checksums; {@link SegmentReader} reads it. Frames are buffered until {@link
 * #flush}. After an exception the segment accepts no more frames: how much of the last ones was written is unknown
 * until it is read. Not thread-safe.
 */
public final class SegmentWriter implements AutoCloseable {

    private static final int BUFFER_BYTES = 8 * SegmentLayout.BLOCK_BYTES;

    private final Volume.Output output;
    private final FrameCodec codec = new FrameCodec();
    private final byte[] buffer = new byte[BUFFER_BYTES];
    private final ByteBuffer view = ByteBuffer.wrap(buffer).order(FrameCodec.ORDER);
    private int buffered;
    private long flushed;

    /** Creates the file; {@code magic} (8 characters) identifies its format and version. */
    public SegmentWriter(Volume volume, Path file, String magic) throws IOException {
        output = volume.create(file);
        byte[] magicBytes = magic.getBytes(StandardCharsets.US_ASCII);
        if (magicBytes.length != SegmentLayout.MAGIC_BYTES) {
            throw new IllegalArgumentException("magic must have " + SegmentLayout.MAGIC_BYTES + " bytes");
        }
        System.arraycopy(magicBytes, 0, buffer, 0, magicBytes.length);
        buffered = magicBytes.length;
    }

    /** Adds a frame with the remaining bytes of the payload, at most {@link #maxPayloadBytes()}. */
    public void add(int type, ByteBuffer payload) throws IOException {
        int length = payload.remaining();
        if (length > SegmentLayout.MAX_PAYLOAD_BYTES || type <= 0 || type > 255) {
            throw new IllegalArgumentException("invalid frame: type " + type + ", " + length + " bytes");
        }
        reserve(SegmentLayout.HEADER_BYTES + length);
        buffered = codec.encode(view, buffered, type, payload);
    }

    /** Adds a frame that a {@link FrameCodec} encoded at an offset of another buffer. */
    public void addFrame(ByteBuffer from, int offset) throws IOException {
        int size = SegmentLayout.HEADER_BYTES + FrameCodec.length(from, offset);
        reserve(size);
        from.get(offset, buffer, buffered, size);
        buffered += size;
    }

    /** Pads the block and flushes the buffer as needed for a frame of {@code size} bytes. */
    private void reserve(int size) throws IOException {
        int space = SegmentLayout.BLOCK_BYTES - (int) ((flushed + buffered) % SegmentLayout.BLOCK_BYTES);
        if (space < size) {
            if (buffered + space > BUFFER_BYTES) {
                flush();
            }
            Arrays.fill(buffer, buffered, buffered + space, (byte) 0);
            buffered += space;
        }
        if (buffered + size > BUFFER_BYTES) {
            flush();
        }
    }

    /** Returns the maximum payload length of a frame. */
    public static int maxPayloadBytes() {
        return SegmentLayout.MAX_PAYLOAD_BYTES;
    }

    /** Writes the buffered frames to the operating system; from then on they survive the end of the process. */
    public void flush() throws IOException {
        if (buffered > 0) {
            CrashPoint.reached("segment.before-write");
            output.write(ByteBuffer.wrap(buffer, 0, buffered));
            flushed += buffered;
            buffered = 0;
            CrashPoint.reached("segment.after-write");
        }
    }

    /** Flushes, and returns when all frames would survive a power failure. */
    public void force() throws IOException {
        flush();
        output.force();
        CrashPoint.reached("segment.after-sync");
    }

    /** Returns the size of the segment so far, in bytes. */
    public long size() {
        return flushed + buffered;
    }

    /** Closes without a flush. */
    @Override
    public void close() throws IOException {
        output.close();
    }
}
