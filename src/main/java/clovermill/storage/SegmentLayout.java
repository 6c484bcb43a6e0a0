package clovermill.storage;

/**
 * The layout of a segment: 8 magic bytes and then frames of {@link FrameCodec}. No frame crosses a multiple of
 * {@value #BLOCK_BYTES} bytes; the remainder of a block is filled with zeros. A damaged length therefore costs at
 * most the rest of its block, as in the log format of LevelDB.
 */
final class SegmentLayout {

    static final int MAGIC_BYTES = 8;
    static final int HEADER_BYTES = FrameCodec.HEADER_BYTES;
    static final int BLOCK_BYTES = 1 << 15;
    /** The maximum payload length. */
    static final int MAX_PAYLOAD_BYTES = BLOCK_BYTES - HEADER_BYTES - MAGIC_BYTES;

    private SegmentLayout() {}
}
