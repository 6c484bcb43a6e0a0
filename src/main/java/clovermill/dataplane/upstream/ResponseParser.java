package clovermill.dataplane.upstream;

import clovermill.runtime.net.Body;
import clovermill.runtime.net.Budget;
import clovermill.runtime.net.ProtocolException;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** An incremental parser of lines protocol responses: {@code ID WORD FIELDS LENGTH}, the body, and a line end. */
final class ResponseParser {

    /** Receives complete responses. */
    interface Sink {

        /**
         * Handles a response. The sink owns the body once it has returned; if it throws, the parser closes the body.
         */
        void handleResponse(String id, String word, Map<String, String> fields, Body body) throws ProtocolException;
    }

    private static final int MAX_LINE_BYTES = 4096;
    /** Largest object that the protocol allows, which fits into a client's frame. */
    private static final int MAX_BODY_BYTES = 240_000;

    private final Budget budget;
    private final Sink sink;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    private String[] words;
    private int length;
    private Body body;
    private int bodyBytesRead;
    private int endBytesRead;

    ResponseParser(Budget budget, Sink sink) {
        this.budget = budget;
        this.sink = sink;
    }

    /** Parses {@code data}, all of it unless the budget has no memory for a body. */
    void parse(ByteBuffer data) throws ProtocolException {
        while (data.hasRemaining() || words != null && body == null) {
            if (words == null) {
                if (readLine(data)) {
                    parseHeader(line.toString(StandardCharsets.UTF_8));
                    line.reset();
                }
            } else if (body == null) {
                if (!budget.tryReserve(length)) {
                    return;
                }
                body = new Body(new byte[length], budget);
            } else if (bodyBytesRead < length) {
                int part = Math.min(length - bodyBytesRead, data.remaining());
                data.get(body.bytes(), bodyBytesRead, part);
                bodyBytesRead += part;
            } else {
                parseEnd(data.get());
            }
        }
    }

    /** Returns whether a response waits until the budget has memory for its body. */
    boolean awaitsBudget() {
        return words != null && body == null;
    }

    /** Returns whether a response is partly read. */
    boolean isMidResponse() {
        return words != null || line.size() > 0;
    }

    /** Returns whether the response with this id is partly read. */
    boolean isReading(String id) {
        return words != null && words[0].equals(id);
    }

    /** Returns the number of body bytes of the current response that have not been read. */
    int remainingBytes() {
        return words == null ? 0 : length - bodyBytesRead;
    }

    /** Releases the body of an incomplete response. */
    void close() {
        if (body != null) {
            body.close();
            body = null;
        }
    }

    private boolean readLine(ByteBuffer data) throws ProtocolException {
        while (data.hasRemaining()) {
            byte next = data.get();
            if (next == '\n') {
                return true;
            }
            line.write(next);
            if (line.size() > MAX_LINE_BYTES) {
                throw new ProtocolException("response line too long");
            }
        }
        return false;
    }

    private void parseHeader(String text) throws ProtocolException {
        String[] parts = text.endsWith("\r") ? text.substring(0, text.length() - 1).split(" ", -1) : new String[0];
        if (parts.length != 4) {
            throw new ProtocolException("malformed response line");
        }
        try {
            length = Integer.parseInt(parts[3]);
        } catch (NumberFormatException e) {
            length = -1;
        }
        if (length < 0 || length > MAX_BODY_BYTES) {
            throw new ProtocolException("invalid length in a response");
        }
        words = parts;
        bodyBytesRead = 0;
        endBytesRead = 0;
    }

    private void parseEnd(byte next) throws ProtocolException {
        if (next != (endBytesRead == 0 ? '\r' : '\n')) {
            throw new ProtocolException("missing line end after a response body");
        }
        endBytesRead++;
        if (endBytesRead == 2) {
            String[] header = words;
            Body completeBody = body;
            words = null;
            body = null;
            deliver(header, completeBody);
        }
    }

    /** Passes a complete response to the sink; closes the body unless the sink has taken it. */
    private void deliver(String[] header, Body completeBody) throws ProtocolException {
        boolean taken = false;
        try {
            sink.handleResponse(header[0], header[1], fields(header[2]), completeBody);
            taken = true;
        } finally {
            if (!taken) {
                completeBody.close();
            }
        }
    }

    private static Map<String, String> fields(String text) throws ProtocolException {
        Map<String, String> fields = new HashMap<>(8);
        if (!text.equals("-")) {
            for (String pair : text.split(",", -1)) {
                int equals = pair.indexOf('=');
                if (equals < 1) {
                    throw new ProtocolException("malformed field in a response");
                }
                fields.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        return fields;
    }
}
