import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case's run, in its folder. */
final class Record implements AutoCloseable {

    private final long startNs = System.nanoTime();
    private final PrintWriter out;

    Record(String folder) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")));
    }

    /** Writes a line with the seconds since the start. */
    synchronized void line(String text) {
        out.printf(Locale.ROOT, "%9.3f %s%n", seconds(), text);
    }

    /** Writes a line that is shown on the terminal, too. */
    void say(String text) {
        line(text);
        System.out.printf(Locale.ROOT, "%9.3f %s%n", seconds(), text);
    }

    double seconds() {
        return (System.nanoTime() - startNs) / 1e9;
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
