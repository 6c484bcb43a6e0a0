package clovermill.dataplane.server;

import clovermill.runtime.net.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Decodes the fields of a request. Those that the protocol does not define are skipped in place, as later versions may
 * add some: a head of very many short fields costs hardly any time or memory.
 */
final class RequestFields {

    private static final String[] NAMES =
            {"class", "id", "wait", "retry", "once", "key", "seg", "bucket", "kb", "etag"};
    private static final byte[][] ENCODED_NAMES =
            Stream.of(NAMES).map(name -> name.getBytes(StandardCharsets.US_ASCII)).toArray(byte[][]::new);

    private final byte[] bytes;
    private final int end;
    private int position;

    private RequestFields(byte[] bytes, int position, int end) {
        this.bytes = bytes;
        this.position = position;
        this.end = end;
    }

    /**
     * Reads the fields and advances the payload past them.
     *
     * @param payload the payload of a frame, in an array
     * @return the values of the fields that the protocol defines, by name
     * @throws ProtocolException if the payload is too short
     */
    static Map<String, String> read(ByteBuffer payload) throws ProtocolException {
        int offset = payload.arrayOffset();
        RequestFields reader =
                new RequestFields(payload.array(), offset + payload.position(), offset + payload.limit());
        Map<String, String> fields = reader.readAll();
        payload.position(reader.position - offset);
        return fields;
    }

    private Map<String, String> readAll() throws ProtocolException {
        Map<String, String> fields = new HashMap<>(16);
        for (int remaining = readByte(); remaining > 0; remaining--) {
            String name = readName();
            int length = readByte() | readByte() << Byte.SIZE;
            int from = skip(length);
            if (name != null) {
                fields.put(name, new String(bytes, from, length, StandardCharsets.UTF_8));
            }
        }
        return fields;
    }

    /** Returns the next name, or null if the protocol does not define it. */
    private String readName() throws ProtocolException {
        int length = readByte();
        int from = skip(length);
        for (int i = 0; i < NAMES.length; i++) {
            byte[] encoded = ENCODED_NAMES[i];
            if (encoded.length == length && encoded[0] == bytes[from]
                    && Arrays.equals(encoded, 0, length, bytes, from, from + length)) {
                return NAMES[i];
            }
        }
        return null;
    }

    private int readByte() throws ProtocolException {
        return bytes[skip(1)] & 0xff;
    }

    /** Advances by {@code count} bytes and returns the position before. */
    private int skip(int count) throws ProtocolException {
        if (end - position < count) {
            throw new ProtocolException("truncated fields in a frame");
        }
        position += count;
        return position - count;
    }
}
