package clovermill.simulation.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Reads lines of bytes through a buffer of its own that grows with the longest line. */
final class LineReader {

    private final InputStream in;
    private byte[] buffer = new byte[1 << 16];
    private int from;
    private int to;
    private long number;

    LineReader(InputStream in) {
        this.in = in;
    }

    /** The number of the line read last, from 1. */
    long number() {
        return number;
    }

    /** The next line without its end, or null when the input has ended. */
    String next() throws IOException {
        int scanned = from;
        while (true) {
            for (; scanned < to; scanned++) {
                if (buffer[scanned] == '\n') {
                    String line = text(scanned);
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

    private String text(int end) {
        number++;
        int last = end > from && buffer[end - 1] == '\r' ? end - 1 : end;
        return new String(buffer, from, last - from, StandardCharsets.UTF_8);
    }

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
