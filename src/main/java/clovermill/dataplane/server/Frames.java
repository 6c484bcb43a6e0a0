package clovermill.dataplane.server;

import clovermill.runtime.net.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Frame types, response codes and field encoding of the frame protocol. */
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

    private Frames() {}

    /** Reads the fields and advances the payload past them. Throws if the payload is too short. */
    static Map<String, String> fields(ByteBuffer payload) throws ProtocolException {
        Map<String, String> fields = new HashMap<>(16);
        for (int i = readNumber(payload, 1); i > 0; i--) {
            String name = readText(payload, readNumber(payload, 1));
            fields.put(name, readText(payload, readNumber(payload, 2)));
        }
        return fields;
    }

    private static int readNumber(ByteBuffer payload, int size) throws ProtocolException {
        if (payload.remaining() < size) {
            throw new ProtocolException("truncated fields in a frame");
        }
        return size == 1 ? payload.get() & 0xff : payload.getShort() & 0xffff;
    }

    private static String readText(ByteBuffer payload, int size) throws ProtocolException {
        if (payload.remaining() < size) {
            throw new ProtocolException("truncated fields in a frame");
        }
        byte[] bytes = new byte[size];
        payload.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    /** Encodes a response frame without its body, whose length is included in the length field. */
    static ByteBuffer responseHead(int type, long stream, byte code, Map<String, String> fields, int bodyLength) {
        int size = 7;
        for (Map.Entry<String, String> field : fields.entrySet()) {
            size += 3 + field.getKey().length() + field.getValue().length();
        }
        ByteBuffer frame = ByteBuffer.allocate(4 + size).order(ByteOrder.LITTLE_ENDIAN);
        frame.putInt(size + bodyLength).put((byte) type).putInt((int) stream).put(code);
        frame.put((byte) fields.size());
        for (Map.Entry<String, String> field : fields.entrySet()) {
            frame.put((byte) field.getKey().length()).put(field.getKey().getBytes(StandardCharsets.US_ASCII));
            frame.putShort((short) field.getValue().length());
            frame.put(field.getValue().getBytes(StandardCharsets.US_ASCII));
        }
        return frame.flip();
    }

    /** Encodes a frame without payload. */
    static ByteBuffer emptyFrame(int type, long stream) {
        return ByteBuffer.allocate(9).order(ByteOrder.LITTLE_ENDIAN).putInt(5).put((byte) type)
                .putInt((int) stream).flip();
    }
}
