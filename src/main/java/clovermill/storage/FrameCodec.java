package clovermill.storage;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.zip.CRC32C;

/**
 * Encodes and checks one frame, little-endian:
 *
 * <pre>
 * crc:4  length:2  type:1  payload        crc is CRC32C (RFC 3720) of all that follows it in the frame
 * </pre>
 *
 * Not thread-safe.
 */
public final class FrameCodec {

    /** The byte order of all numbers. */
    public static final ByteOrder ORDER = ByteOrder.LITTLE_ENDIAN;
    /** The number of bytes before the payload. */
    public static final int HEADER_BYTES = 7;

    private final CRC32C crc = new CRC32C();

    /** Writes a frame at an offset of a buffer, which must have enough space. Returns the offset after the frame. */
    public int encode(ByteBuffer target, int offset, int type, ByteBuffer payload) {
        int length = payload.remaining();
        target.putShort(offset + 4, (short) length).put(offset + 6, (byte) type);
        target.put(offset + HEADER_BYTES, payload, payload.position(), length);
        crc.reset();
        crc.update(length & 255);
        crc.update(length >> 8);
        crc.update(type);
        crc.update(payload.array(), payload.arrayOffset() + payload.position(), length);
        target.putInt(offset, (int) crc.getValue());
        return offset + HEADER_BYTES + length;
    }

    /**
     * Returns whether a frame with a correct checksum starts at an offset and ends by {@code limit}; type 0 is
     * invalid.
     */
    public boolean isValid(ByteBuffer source, int offset, int limit) {
        if (limit - offset < HEADER_BYTES || length(source, offset) > limit - offset - HEADER_BYTES
                || source.get(offset + 6) == 0) {
            return false;
        }
        crc.reset();
        if (source.hasArray()) {
            crc.update(source.array(), source.arrayOffset() + offset + 4, HEADER_BYTES - 4 + length(source, offset));
        } else {
            crc.update(source.slice(offset + 4, HEADER_BYTES - 4 + length(source, offset)));
        }
        return (int) crc.getValue() == source.getInt(offset);
    }

    /** Returns the payload length of the frame at an offset. */
    public static int length(ByteBuffer source, int offset) {
        return source.getShort(offset + 4) & 0xffff;
    }

    /** Returns the type of the frame at an offset. */
    public static int type(ByteBuffer source, int offset) {
        return source.get(offset + 6) & 255;
    }
}
