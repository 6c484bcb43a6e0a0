package clovermill.dataplane.upstream;

import clovermill.runtime.net.Body;
import clovermill.runtime.net.Budget;
import clovermill.runtime.net.ProtocolException;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Reads answers of the lines protocol: {@code ID WORD FIELDS LENGTH}, the bytes, and a line end. */
final class ResponseParser {

    /** Where whole answers go. */
    interface Sink {

        /** Takes an answer and owns its body. */
        void answer(String id, String word, Map<String, String> fields, Body body) throws ProtocolException;
    }

    private static final int LONGEST_LINE = 4096;
    /** The protocol's largest object; more would not fit into a client's frame. */
    private static final int LARGEST_BODY = 240_000;

    private final Budget budget;
    private final Sink sink;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    private String[] words;
    private int length;
    private Body body;
    private int filled;
    private int ends;

    ResponseParser(Budget budget, Sink sink) {
        this.budget = budget;
        this.sink = sink;
    }

    /** Reads all of {@code data}, but stops before a body for which the budget has no room yet. */
    void parse(ByteBuffer data) throws ProtocolException {
        while (data.hasRemaining() || words != null && body == null) {
            if (words == null) {
                if (readLine(data)) {
                    header(line.toString(StandardCharsets.UTF_8));
                    line.reset();
                }
            } else if (body == null) {
                if (!budget.take(length)) {
                    return;
                }
                body = new Body(new byte[length], budget);
            } else if (filled < length) {
                int part = Math.min(length - filled, data.remaining());
                data.get(body.bytes(), filled, part);
                filled += part;
            } else {
                end(data.get());
            }
        }
    }

    /** True while an answer waits for room in the budget. */
    boolean waitsForRoom() {
        return words != null && body == null;
    }

    /** Whether a part of an answer has been read. */
    boolean midAnswer() {
        return words != null || line.size() > 0;
    }

    /** Whether a part of the answer with that id has been read. */
    boolean answers(String id) {
        return words != null && words[0].equals(id);
    }

    /** The bytes that the answer being read still lacks. */
    int left() {
        return words == null ? 0 : length - filled;
    }

    /** Gives back what a broken connection leaves unfinished. */
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
            if (line.size() > LONGEST_LINE) {
                throw new ProtocolException("a line of an answer is too long");
            }
        }
        return false;
    }

    private void header(String text) throws ProtocolException {
        String[] parts = text.endsWith("\r") ? text.substring(0, text.length() - 1).split(" ", -1) : new String[0];
        if (parts.length != 4) {
            throw new ProtocolException("not an answer");
        }
        try {
            length = Integer.parseInt(parts[3]);
        } catch (NumberFormatException e) {
            length = -1;
        }
        if (length < 0 || length > LARGEST_BODY) {
            throw new ProtocolException("not a length in an answer");
        }
        words = parts;
        filled = 0;
        ends = 0;
    }

    private void end(byte next) throws ProtocolException {
        if (next != (ends == 0 ? '\r' : '\n')) {
            throw new ProtocolException("an answer does not end after its bytes");
        }
        ends++;
        if (ends == 2) {
            String[] answered = words;
            Body whole = body;
            words = null;
            body = null;
            Map<String, String> fields;
            try {
                fields = fields(answered[2]);
            } catch (ProtocolException malformed) {
                whole.close();
                throw malformed;
            }
            sink.answer(answered[0], answered[1], fields, whole);
        }
    }

    private static Map<String, String> fields(String text) throws ProtocolException {
        Map<String, String> fields = new HashMap<>(8);
        if (!text.equals("-")) {
            for (String pair : text.split(",", -1)) {
                int cut = pair.indexOf('=');
                if (cut < 1) {
                    throw new ProtocolException("not a field of an answer");
                }
                fields.put(pair.substring(0, cut), pair.substring(cut + 1));
            }
        }
        return fields;
    }
}
