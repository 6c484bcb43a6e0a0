package clovermill.controlplane.admin;

import clovermill.controlplane.admin.decide.AdminRequest;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Reads one request of HTTP/1.1 (RFC 9112), cut at whatever bytes: a request line, headers, and a body that is sized
 * or chunked. Whatever follows it is left alone, since a connection carries one call.
 */
final class AdminRequestParser {

    /** A request that cannot be read, with the status that says why. */
    static final class BadCall extends Exception {

        private static final long serialVersionUID = 1L;
        private final int status;

        BadCall(int status, String message) {
            super(message, null, false, false);
            this.status = status;
        }

        int status() {
            return status;
        }
    }

    private enum State { LINE, HEADERS, SIZED, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS, DONE }

    /**
     * A policy takes some kilobytes, other calls some hundred bytes; this is what a caller may make the director hold.
     */
    private static final int LARGEST_HEAD = 8192;
    private static final int LARGEST_BODY = 1 << 17;
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,9}");
    private static final Pattern CHUNK_LENGTH = Pattern.compile("[0-9a-fA-F]{1,7}");
    private static final Pattern LINE = Pattern.compile("([A-Za-z]+) +(/[^ ?#]*)([?][^ ]*)? +HTTP/1\\.[01] *");

    private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(128);
    private State state = State.LINE;
    private String method;
    private String path;
    private int headBytes;
    private int left;
    private boolean chunked;
    private boolean awaited;

    /** Takes bytes; returns the call once it is whole, else null. */
    AdminRequest parse(ByteBuffer data) throws BadCall {
        while (data.hasRemaining() && state != State.DONE) {
            if (state == State.SIZED || state == State.CHUNK) {
                byte[] part = new byte[Math.min(left, data.remaining())];
                data.get(part);
                body.write(part, 0, part.length);
                left -= part.length;
                if (left == 0) {
                    state = state == State.SIZED ? State.DONE : State.CHUNK_END;
                }
            } else {
                byte next = data.get();
                if (++headBytes > LARGEST_HEAD) {
                    throw new BadCall(431, "the head is too long");
                }
                if (next != '\n') {
                    line.write(next);
                } else {
                    String text = line.toString(StandardCharsets.ISO_8859_1);
                    line.reset();
                    line(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
                }
            }
        }
        return state == State.DONE ? new AdminRequest(method, path, body.toString(StandardCharsets.UTF_8)) : null;
    }

    /** Whether the caller waits to be asked for its body (RFC 9110, 10.1.1); true once. */
    boolean waitsToSend() {
        boolean waits = awaited && state != State.LINE && state != State.HEADERS && state != State.DONE;
        awaited &= !waits;
        return waits;
    }

    private void line(String text) throws BadCall {
        switch (state) {
            case LINE -> {
                if (!text.isEmpty()) { // an empty line before the request is let pass
                    var words = LINE.matcher(text);
                    if (!words.matches()) {
                        throw new BadCall(400, "not a request of HTTP/1.1");
                    }
                    method = words.group(1);
                    path = words.group(2);
                    state = State.HEADERS;
                }
            }
            case HEADERS -> {
                if (text.isEmpty()) {
                    state = chunked ? State.CHUNK_SIZE : left > 0 ? State.SIZED : State.DONE;
                } else {
                    header(text);
                }
            }
            case CHUNK_SIZE -> {
                String size = text.split(";", 2)[0].strip();
                if (!CHUNK_LENGTH.matcher(size).matches()) {
                    throw new BadCall(400, "not a chunk");
                }
                left = bounded(Long.parseLong(size, 16));
                state = left > 0 ? State.CHUNK : State.TRAILERS;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new BadCall(400, "a chunk is longer than its size");
                }
                state = State.CHUNK_SIZE;
            }
            default -> state = text.isEmpty() ? State.DONE : state;
        }
    }

    private void header(String text) throws BadCall {
        int cut = text.indexOf(':');
        if (cut < 1 || Character.isWhitespace(text.charAt(cut - 1)) || Character.isWhitespace(text.charAt(0))) {
            throw new BadCall(400, "not a header");
        }
        String value = text.substring(cut + 1).strip();
        switch (text.substring(0, cut).toLowerCase(Locale.ROOT)) {
            case "content-length" -> {
                if (!LENGTH.matcher(value).matches() || left > 0 && left != Integer.parseInt(value)) {
                    throw new BadCall(400, "Content-Length: not a length");
                }
                left = bounded(Integer.parseInt(value));
            }
            case "transfer-encoding" -> {
                if (!value.equalsIgnoreCase("chunked")) {
                    throw new BadCall(501, "Transfer-Encoding: only chunked is read");
                }
                chunked = true;
            }
            case "expect" -> awaited = value.equalsIgnoreCase("100-continue");
            default -> {}
        }
    }

    private int bounded(long size) throws BadCall {
        if (body.size() + size > LARGEST_BODY) {
            throw new BadCall(413, "the body is too long");
        }
        return (int) size;
    }
}
