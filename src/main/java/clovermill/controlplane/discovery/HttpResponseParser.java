package clovermill.controlplane.discovery;

import clovermill.runtime.net.ProtocolException;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * An incremental parser for HTTP/1.1 responses (RFC 9112). A body has a length, is chunked, or is delimited by the
 * close of the connection. Each method throws a {@link ProtocolException} for bytes that are not a valid response.
 */
final class HttpResponseParser {

    /** A receiver of complete responses. */
    interface Handler {
        /** Handles a response; {@code last} if the connection accepts no further request. */
        void response(int status, String body, boolean last) throws ProtocolException;
    }

    private enum State { STATUS, HEADERS, SIZED, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS, UNSIZED }

    private static final int MAX_LINE_BYTES = 8192;
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final int MAX_HEADERS = 100;

    private final Handler handler;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(1024);
    private final Map<String, String> headers = new HashMap<>();
    private State state = State.STATUS;
    private int status;
    private boolean http10;
    private int remainingBytes;

    HttpResponseParser(Handler handler) {
        this.handler = handler;
    }

    /** Parses all bytes of {@code data}, which may be split at any position of a response. */
    void parse(ByteBuffer data) throws ProtocolException {
        while (data.hasRemaining()) {
            if (state == State.SIZED || state == State.CHUNK || state == State.UNSIZED) {
                parseBody(data);
            } else {
                parseLineByte(data.get());
            }
        }
    }

    /** Handles the close of the connection by the peer, which completes a body without a length. */
    void end() throws ProtocolException {
        if (state == State.UNSIZED) {
            finish();
        }
    }

    private void parseBody(ByteBuffer data) throws ProtocolException {
        int count = state == State.UNSIZED ? data.remaining() : Math.min(remainingBytes, data.remaining());
        checkSize(body.size() + count, MAX_BODY_BYTES);
        byte[] bytes = new byte[count];
        data.get(bytes);
        body.write(bytes, 0, count);
        if (state == State.UNSIZED) {
            return;
        }
        remainingBytes -= count;
        if (remainingBytes > 0) {
            return;
        }
        if (state == State.SIZED) {
            finish();
        } else {
            state = State.CHUNK_END;
        }
    }

    private void parseLineByte(byte next) throws ProtocolException {
        if (next != '\n') {
            checkSize(line.size() + 1, MAX_LINE_BYTES);
            line.write(next);
            return;
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        line.reset();
        parseLine(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
    }

    private void parseLine(String text) throws ProtocolException {
        switch (state) {
            case STATUS -> parseStatus(text);
            case HEADERS -> parseHeader(text);
            case CHUNK_SIZE -> {
                remainingBytes = parseSize(text.split(";", 2)[0].trim(), 16);
                state = remainingBytes > 0 ? State.CHUNK : State.TRAILERS;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new ProtocolException("a chunk is longer than its size");
                }
                state = State.CHUNK_SIZE;
            }
            default -> {
                if (text.isEmpty()) {
                    finish();
                }
            }
        }
    }

    private void parseStatus(String text) throws ProtocolException {
        if (!text.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?")) {
            throw new ProtocolException("not an HTTP response");
        }
        http10 = text.startsWith("HTTP/1.0");
        status = Integer.parseInt(text.substring(9, 12));
        state = State.HEADERS;
    }

    private void parseHeader(String text) throws ProtocolException {
        int colon = text.indexOf(':');
        if (text.isEmpty()) {
            startBody();
        } else if (colon < 1 || headers.size() > MAX_HEADERS) {
            throw new ProtocolException("not an HTTP header");
        } else {
            headers.put(text.substring(0, colon).trim().toLowerCase(Locale.ROOT), text.substring(colon + 1).trim());
        }
    }

    private void startBody() throws ProtocolException {
        String length = headers.get("content-length");
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            state = State.CHUNK_SIZE;
        } else if (status < 200 || status == 204 || status == 304) {
            finish();
        } else if (length == null) {
            state = State.UNSIZED;
        } else {
            remainingBytes = parseSize(length, 10);
            state = State.SIZED;
            if (remainingBytes == 0) {
                finish();
            }
        }
    }

    /** Passes the response to the handler unless it is interim (1xx), and prepares for the next one. */
    private void finish() throws ProtocolException {
        String connection = headers.getOrDefault("connection", http10 ? "close" : "").toLowerCase(Locale.ROOT);
        boolean last = state == State.UNSIZED || connection.contains("close");
        String text = body.toString(StandardCharsets.UTF_8);
        headers.clear();
        body.reset();
        state = State.STATUS;
        if (status >= 200) {
            handler.response(status, text, last);
        }
    }

    private static int parseSize(String text, int radix) throws ProtocolException {
        int size;
        try {
            size = Integer.parseInt(text, radix);
        } catch (NumberFormatException notANumber) {
            throw new ProtocolException("not a length in an HTTP response");
        }
        if (size < 0) {
            throw new ProtocolException("not a length in an HTTP response");
        }
        checkSize(size, MAX_BODY_BYTES);
        return size;
    }

    private static void checkSize(int bytes, int maxBytes) throws ProtocolException {
        if (bytes > maxBytes) {
            throw new ProtocolException("an HTTP response is too large");
        }
    }
}
