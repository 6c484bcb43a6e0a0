package clovermill.controlplane.discovery;

import clovermill.runtime.net.ProtocolException;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 responses one after another: a sized, a chunked or an unsized body that ends with the peer. */
final class HttpResponseParser {

    /** Where whole responses go; {@code last} if the connection takes no further request. */
    interface Sink {
        void response(int status, String body, boolean last) throws ProtocolException;
    }

    private enum State { STATUS, HEADERS, SIZED, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS, UNSIZED }

    private static final int LONGEST_LINE = 8192;
    private static final int LARGEST_BODY = 4 << 20;

    private final Sink sink;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(1024);
    private final Map<String, String> headers = new HashMap<>();
    private State state = State.STATUS;
    private int status;
    private boolean old;
    private int left;

    HttpResponseParser(Sink sink) {
        this.sink = sink;
    }

    void parse(ByteBuffer data) throws ProtocolException {
        while (data.hasRemaining()) {
            if (state == State.SIZED || state == State.CHUNK || state == State.UNSIZED) {
                int part = state == State.UNSIZED ? data.remaining() : Math.min(left, data.remaining());
                bounded(body.size() + part, LARGEST_BODY);
                byte[] bytes = new byte[part];
                data.get(bytes);
                body.write(bytes, 0, part);
                left -= part;
                if (left == 0 && state != State.UNSIZED) {
                    if (state == State.SIZED) {
                        finish();
                    } else {
                        state = State.CHUNK_END;
                    }
                }
            } else {
                byte next = data.get();
                if (next != '\n') {
                    bounded(line.size() + 1, LONGEST_LINE);
                    line.write(next);
                } else {
                    String text = line.toString(StandardCharsets.ISO_8859_1);
                    line.reset();
                    line(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
                }
            }
        }
    }

    /** The peer sends no more, which ends an unsized body. */
    void end() throws ProtocolException {
        if (state == State.UNSIZED) {
            finish();
        }
    }

    private void line(String text) throws ProtocolException {
        switch (state) {
            case STATUS -> {
                if (!text.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?")) {
                    throw new ProtocolException("not an HTTP response");
                }
                old = text.startsWith("HTTP/1.0");
                status = Integer.parseInt(text.substring(9, 12));
                state = State.HEADERS;
            }
            case HEADERS -> {
                int cut = text.indexOf(':');
                if (text.isEmpty()) {
                    startBody();
                } else if (cut < 1 || headers.size() > 100) {
                    throw new ProtocolException("not an HTTP header");
                } else {
                    headers.put(text.substring(0, cut).trim().toLowerCase(Locale.ROOT),
                            text.substring(cut + 1).trim());
                }
            }
            case CHUNK_SIZE -> {
                left = number(text.split(";", 2)[0].trim(), 16);
                state = left > 0 ? State.CHUNK : State.TRAILERS;
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

    private void startBody() throws ProtocolException {
        String length = headers.get("content-length");
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            state = State.CHUNK_SIZE;
        } else if (status < 200 || status == 204 || status == 304) {
            finish();
        } else if (length == null) {
            state = State.UNSIZED;
        } else {
            left = number(length, 10);
            state = State.SIZED;
            if (left == 0) {
                finish();
            }
        }
    }

    private void finish() throws ProtocolException {
        String connection = headers.getOrDefault("connection", old ? "close" : "").toLowerCase(Locale.ROOT);
        boolean last = state == State.UNSIZED || connection.contains("close");
        String text = body.toString(StandardCharsets.UTF_8);
        headers.clear();
        body.reset();
        state = State.STATUS;
        if (status >= 200) {
            sink.response(status, text, last);
        }
    }

    private static int number(String text, int radix) throws ProtocolException {
        try {
            int number = Integer.parseInt(text, radix);
            bounded(number, LARGEST_BODY);
            if (number >= 0) {
                return number;
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw new ProtocolException("not a length in an HTTP response");
    }

    private static void bounded(int size, int most) throws ProtocolException {
        if (size > most) {
            throw new ProtocolException("an HTTP response is too large");
        }
    }
}
