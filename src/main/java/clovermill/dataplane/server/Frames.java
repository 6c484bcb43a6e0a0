package clovermill.dataplane.server;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Frame types, response codes and the encoding of frames in the frame protocol. */
final class Frames {

    static final int REQUEST = 0;
    static final int RESPONSE = 1;
    static final int CANCEL = 2;
    static final int READINESS_REQUEST = 6;
    static final int READINESS_RESPONSE = 7;
    static final int GOING_AWAY = 9;

    static final byte SERVED = 79;
    static final byte REJECTED = 66;
    static final byte FAILED = 69;

    /** Size of the length field. */
    private static final int LENGTH_BYTES = 4;
    /** Size of a response's type, stream number and code, which the length field includes. */
    private static final int RESPONSE_FIXED_BYTES = 6;
    private static final int NAME_LENGTH_BYTES = 1;
    private static final int VALUE_LENGTH_BYTES = 2;

    private Frames() {}

    /**
     * Encodes a response frame without its body, whose length is included in the length field.
     *
     * @throws IllegalArgumentException if a field is longer than its length can express
     */
    static ByteBuffer responseHead(int type, long stream, byte code, Map<String, String> fields, int bodyLength) {
        byte[] encodedFields = encode(fields);
        int size = RESPONSE_FIXED_BYTES + encodedFields.length;
        ByteBuffer frame = ByteBuffer.allocate(LENGTH_BYTES + size).order(ByteOrder.LITTLE_ENDIAN);
        frame.putInt(size + bodyLength).put((byte) type).putInt((int) stream).put(code);
        return frame.put(encodedFields).flip();
    }

    private static byte[] encode(Map<String, String> fields) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(fields.size());
        for (Map.Entry<String, String> field : fields.entrySet()) {
            writeText(field.getKey(), NAME_LENGTH_BYTES, out);
            writeText(field.getValue(), VALUE_LENGTH_BYTES, out);
        }
        return out.toByteArray();
    }

    /** Writes the number of encoded bytes in little-endian order, then these bytes. */
    private static void writeText(String text, int lengthBytes, ByteArrayOutputStream out) {
        byte[] encoded = text.getBytes(StandardCharsets.UTF_8);
        if (encoded.length >= 1 << lengthBytes * Byte.SIZE) {
            throw new IllegalArgumentException("a field of " + encoded.length + " bytes is too long for a frame");
        }
        for (int i = 0; i < lengthBytes; i++) {
            out.write(encoded.length >> i * Byte.SIZE);
        }
        out.writeBytes(encoded);
    }

    /** Encodes a frame without payload. */
    static ByteBuffer emptyFrame(int type, long stream) {
        return ByteBuffer.allocate(9).order(ByteOrder.LITTLE_ENDIAN).putInt(5).put((byte) type)
                .putInt((int) stream).flip();
    }
}
