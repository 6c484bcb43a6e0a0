package standins2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line for each thing that was sent, answered or run, with the milliseconds since its start. */
public final class Record {

    private final long startNs = System.nanoTime();
    private final PrintWriter out;

    public Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Returns the milliseconds since the start of the run. */
    public long ms() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    public synchronized void line(String text) {
        out.println(String.format("%6d ms  %s", ms(), text));
        out.flush();
    }
}
