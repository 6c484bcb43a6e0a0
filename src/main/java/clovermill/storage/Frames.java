package clovermill.storage;

/**
 * The form of a segment: 8 bytes of magic and then frames as {@link FrameCodec} has them. No frame crosses a
 * multiple of {@value #BLOCK} bytes; what is left before it is filled with zeros. So a damaged length costs at most
 * the rest of its block, as in LevelDB's log format.
 */
final class Frames {

    static final int MAGIC = 8;
    static final int HEAD = FrameCodec.HEAD;
    static final int BLOCK = 1 << 15;
    /** The longest payload. */
    static final int LONGEST = BLOCK - HEAD - MAGIC;

    private Frames() {}
}
