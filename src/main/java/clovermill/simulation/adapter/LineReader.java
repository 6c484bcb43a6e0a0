package clovermill.simulation.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Reads UTF-8 lines, terminated by LF or CRLF, through a buffer that grows to the longest line. Not thread-safe. */
final class LineReader {

    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int from;
    private int to;
    private long number;

    /** Creates a reader of a stream, which it does not close. */
    LineReader(InputStream in) {
        this.in = in;
    }

    /** Returns the number of the last line read, from 1. */
    long number() {
        return number;
    }

    /**
     * Returns the next line without its terminator, or null at the end of the input.
     *
     * @throws MalformedInput if the input ends within a line
     */
    String next() throws IOException {
        int scanned = from;
        while (true) {
            for (; scanned < to; scanned++) {
                if (buffer[scanned] == '\n') {
                    String line = decodeLine(scanned);
                    from = scanned + 1;
                    return line;
                }
            }
            scanned -= from;
            if (!fill()) {
                if (from < to) {
                    throw new MalformedInput("line " + (number + 1) + ": input ended within a line");
                }
                return null;
            }
            scanned += from;
        }
    }

    private String decodeLine(int end) {
        number++;
        int last = end > from && buffer[end - 1] == '\r' ? end - 1 : end;
        return new String(buffer, from, last - from, StandardCharsets.UTF_8);
    }

    /** Reads more bytes; returns false at the end of the input. */
    private boolean fill() throws IOException {
        if (from > 0) {
            System.arraycopy(buffer, from, buffer, 0, to - from);
            to -= from;
            from = 0;
        }
        if (to == buffer.length) {
            buffer = Arrays.copyOf(buffer, 2 * buffer.length);
        }
        int read = in.read(buffer, to, buffer.length - to);
        to += Math.max(0, read);
        return read >= 0;
    }
}
