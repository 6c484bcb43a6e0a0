package clovermill.simulation.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Reads lines of UTF-8, ended by LF or CRLF, through a buffer that grows with the longest line. Not thread-safe. */
final class LineReader {

    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int from;
    private int to;
    private long number;

    /** Reads from a stream, which stays open. */
    LineReader(InputStream in) {
        this.in = in;
    }

    /** The number of the line read last, from 1. */
    long number() {
        return number;
    }

    /**
     * The next line without its end, or null when the input has ended.
     *
     * @throws MalformedInput if the input ended inside a line
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
                    throw new MalformedInput("line " + (number + 1) + ": cut off by the end of input");
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

    /** Reads further bytes; false at the end of the input. */
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
