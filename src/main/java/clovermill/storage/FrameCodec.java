package clovermill.storage;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.zip.CRC32C;

/**
 * One frame of bytes that can be checked, little-endian:
 *
 * <pre>
 * crc:4  length:2  type:1  payload        crc is CRC32C (RFC 3720) of all that follows it in the frame
 * </pre>
 *
 * Not thread-safe.
 */
public final class FrameCodec {

    /** The order of all numbers. */
    public static final ByteOrder ORDER = ByteOrder.LITTLE_ENDIAN;
    /** Bytes before the payload. */
    public static final int HEAD = 7;

    private final CRC32C crc = new CRC32C();

    /** Puts a frame at a place of a buffer that has room for it; returns the place behind it. */
    public int put(ByteBuffer into, int at, int type, ByteBuffer payload) {
        int length = payload.remaining();
        into.putShort(at + 4, (short) length).put(at + 6, (byte) type);
        into.put(at + HEAD, payload, payload.position(), length);
        crc.reset();
        crc.update(length & 255);
        crc.update(length >> 8);
        crc.update(type);
        crc.update(payload.array(), payload.arrayOffset() + payload.position(), length);
        into.putInt(at, (int) crc.getValue());
        return at + HEAD + length;
    }

    /** Whether a good frame stands at a place and ends by {@code limit}; a type of 0 is none. */
    public boolean isGood(ByteBuffer in, int at, int limit) {
        if (limit - at < HEAD || length(in, at) > limit - at - HEAD || in.get(at + 6) == 0) {
            return false;
        }
        crc.reset();
        if (in.hasArray()) {
            crc.update(in.array(), in.arrayOffset() + at + 4, HEAD - 4 + length(in, at));
        } else {
            crc.update(in.slice(at + 4, HEAD - 4 + length(in, at)));
        }
        return (int) crc.getValue() == in.getInt(at);
    }

    /** The length of the payload of a frame. */
    public static int length(ByteBuffer in, int at) {
        return in.getShort(at + 4) & 0xffff;
    }

    /** The type of a frame. */
    public static int type(ByteBuffer in, int at) {
        return in.get(at + 6) & 255;
    }
}
