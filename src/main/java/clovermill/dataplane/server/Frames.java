package clovermill.dataplane.server;

import clovermill.runtime.net.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** The frame protocol's types, codes, and the form of its fields. */
final class Frames {

    static final int REQUEST = 0;
    static final int ANSWER = 1;
    static final int GIVE_UP = 2;
    static final int READY_QUESTION = 6;
    static final int READY_ANSWER = 7;
    static final int LEAVING = 9;

    static final byte SERVED = 79;
    static final byte REFUSED = 66;
    static final byte FAILED = 69;

    private Frames() {}

    /** Reads a list of fields and leaves the payload at what follows it. */
    static Map<String, String> fields(ByteBuffer payload) throws ProtocolException {
        Map<String, String> fields = new HashMap<>(16);
        for (int i = number(payload, 1); i > 0; i--) {
            String name = text(payload, number(payload, 1));
            fields.put(name, text(payload, number(payload, 2)));
        }
        return fields;
    }

    private static int number(ByteBuffer payload, int size) throws ProtocolException {
        if (payload.remaining() < size) {
            throw new ProtocolException("the fields of a frame are cut off");
        }
        return size == 1 ? payload.get() & 0xff : payload.getShort() & 0xffff;
    }

    private static String text(ByteBuffer payload, int size) throws ProtocolException {
        if (payload.remaining() < size) {
            throw new ProtocolException("the fields of a frame are cut off");
        }
        byte[] bytes = new byte[size];
        payload.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    /** The head of an answer, up to its body; the length counts the body too. */
    static ByteBuffer answer(int type, long stream, byte code, Map<String, String> fields, int bodyLength) {
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

    /** A frame without payload. */
    static ByteBuffer bare(int type, long stream) {
        return ByteBuffer.allocate(9).order(ByteOrder.LITTLE_ENDIAN).putInt(5).put((byte) type)
                .putInt((int) stream).flip();
    }
}
