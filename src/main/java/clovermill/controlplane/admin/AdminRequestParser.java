package clovermill.controlplane.admin;

import clovermill.controlplane.admin.decide.AdminRequest;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses one HTTP/1.1 request (RFC 9112) incrementally: a request line, headers, and a body with a Content-Length or
 * chunked encoding. Bytes after it are ignored, as each connection is used for one request. Not thread-safe.
 */
final class AdminRequestParser {

    private enum State { REQUEST_LINE, HEADERS, SIZED_BODY, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS, DONE }

    private static final int MAX_HEAD_BYTES = 8192;
    /** Policies have a few kilobytes, other bodies a few hundred bytes. */
    private static final int MAX_BODY_BYTES = 1 << 17;
    private static final Pattern CONTENT_LENGTH = Pattern.compile("[0-9]{1,9}");
    private static final Pattern CHUNK_SIZE = Pattern.compile("[0-9a-fA-F]{1,7}");
    private static final Pattern REQUEST_LINE = Pattern.compile("([A-Za-z]+) +(/[^ ?#]*)([?][^ ]*)? +HTTP/1\\.[01] *");

    private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(128);
    private State state = State.REQUEST_LINE;
    private String method;
    private String path;
    private int headBytes;
    /** Bytes of the body, or of its current chunk, that have not been received. */
    private int remainingBytes;
    private boolean chunked;
    private boolean continueExpected;

    /**
     * Consumes received bytes.
     *
     * @return the request, empty if it is incomplete
     * @throws AdminRequestException if the request is malformed or too long
     */
    Optional<AdminRequest> parse(ByteBuffer data) throws AdminRequestException {
        while (data.hasRemaining() && state != State.DONE) {
            if (state == State.SIZED_BODY || state == State.CHUNK) {
                readBody(data);
            } else {
                readLine(data.get());
            }
        }
        return state == State.DONE
                ? Optional.of(new AdminRequest(method, path, body.toString(StandardCharsets.UTF_8)))
                : Optional.empty();
    }

    private void readBody(ByteBuffer data) {
        byte[] part = new byte[Math.min(remainingBytes, data.remaining())];
        data.get(part);
        body.write(part, 0, part.length);
        remainingBytes -= part.length;
        if (remainingBytes == 0) {
            state = state == State.SIZED_BODY ? State.DONE : State.CHUNK_END;
        }
    }

    private void readLine(byte next) throws AdminRequestException {
        if (++headBytes > MAX_HEAD_BYTES) {
            throw new AdminRequestException(431, "the head is too long");
        }
        if (next != '\n') {
            line.write(next);
            return;
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        line.reset();
        parseLine(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
    }

    /** Returns, at most once, true if the client expects 100 Continue before it sends the body (RFC 9110, 10.1.1). */
    boolean takeContinueExpected() {
        boolean expected =
                continueExpected && state != State.REQUEST_LINE && state != State.HEADERS && state != State.DONE;
        continueExpected &= !expected;
        return expected;
    }

    private void parseLine(String text) throws AdminRequestException {
        switch (state) {
            case REQUEST_LINE -> {
                if (!text.isEmpty()) { // empty lines before the request are allowed (RFC 9112, 2.2)
                    Matcher words = REQUEST_LINE.matcher(text);
                    if (!words.matches()) {
                        throw new AdminRequestException(400, "not an HTTP/1.1 request");
                    }
                    method = words.group(1);
                    path = words.group(2);
                    state = State.HEADERS;
                }
            }
            case HEADERS -> {
                if (text.isEmpty()) {
                    state = chunked ? State.CHUNK_SIZE : remainingBytes > 0 ? State.SIZED_BODY : State.DONE;
                } else {
                    parseHeader(text);
                }
            }
            case CHUNK_SIZE -> {
                String size = text.split(";", 2)[0].strip();
                if (!CHUNK_SIZE.matcher(size).matches()) {
                    throw new AdminRequestException(400, "not a chunk");
                }
                remainingBytes = checkedSize(Long.parseLong(size, 16));
                state = remainingBytes > 0 ? State.CHUNK : State.TRAILERS;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new AdminRequestException(400, "a chunk is longer than its size");
                }
                state = State.CHUNK_SIZE;
            }
            default -> state = text.isEmpty() ? State.DONE : state;
        }
    }

    private void parseHeader(String text) throws AdminRequestException {
        int colon = text.indexOf(':');
        if (colon < 1 || Character.isWhitespace(text.charAt(colon - 1)) || Character.isWhitespace(text.charAt(0))) {
            throw new AdminRequestException(400, "not a header");
        }
        String value = text.substring(colon + 1).strip();
        switch (text.substring(0, colon).toLowerCase(Locale.ROOT)) {
            case "content-length" -> {
                if (!CONTENT_LENGTH.matcher(value).matches()
                        || remainingBytes > 0 && remainingBytes != Integer.parseInt(value)) {
                    throw new AdminRequestException(400, "Content-Length: not a length");
                }
                remainingBytes = checkedSize(Integer.parseInt(value));
            }
            case "transfer-encoding" -> {
                if (!value.equalsIgnoreCase("chunked")) {
                    throw new AdminRequestException(501, "Transfer-Encoding: only chunked is read");
                }
                chunked = true;
            }
            case "expect" -> continueExpected = value.equalsIgnoreCase("100-continue");
            default -> {}
        }
    }

    private int checkedSize(long size) throws AdminRequestException {
        if (body.size() + size > MAX_BODY_BYTES) {
            throw new AdminRequestException(413, "the body is too long");
        }
        return (int) size;
    }
}
