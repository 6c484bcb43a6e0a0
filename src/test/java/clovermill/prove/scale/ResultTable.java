package clovermill.prove.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.function.Predicate;

/**
 * A table of figures, one a row, and its CSV file: comment lines that describe the run, a header, rows. A figure that
 * was measured on an overloaded machine is {@link #VOID}.
 */
final class ResultTable {

    static final String VOID = "void";
    private static final String HEADER = "kind,size,rate,metric,value,unit,note";
    private static final int FIELDS = 7;
    /** Smaller absolute values are rounding errors of zero. */
    private static final double ZERO_TOLERANCE = 1e-9;

    /** One figure. */
    record Row(String kind, int size, String rate, String metric, String value, String unit, String note) {

        private String line() {
            return String.join(",", kind, "" + size, rate, metric, value, unit, note);
        }

        private static Row parse(String line) {
            String[] fields = line.split(",", FIELDS);
            return new Row(fields[0], Integer.parseInt(fields[1]), fields[2], fields[3], fields[4], fields[5],
                    fields[6]);
        }
    }

    private final List<String> comments = new ArrayList<>();
    private final List<Row> rows = new ArrayList<>();

    /** Reads a file; returns an empty table if it does not exist. */
    static ResultTable read(Path file) throws IOException {
        ResultTable table = new ResultTable();
        for (String line : Files.exists(file) ? Files.readAllLines(file) : List.<String>of()) {
            if (line.startsWith("#")) {
                table.comments.add(line);
            } else if (!line.equals(HEADER)) {
                table.rows.add(Row.parse(line));
            }
        }
        return table;
    }

    /** Sets a comment line, replacing an existing one with the same name. */
    void comment(String name, String text) {
        String begin = "# " + name + ":";
        String line = begin + " " + text;
        for (int i = 0; i < comments.size(); i++) {
            if (comments.get(i).startsWith(begin)) {
                comments.set(i, line);
                return;
            }
        }
        comments.add(line);
    }

    /** Adds a figure, rounded to four significant digits. */
    void add(String kind, int size, String rate, String metric, double value, String unit, String note) {
        rows.add(new Row(kind, size, rate, metric, number(value), unit, note.replace(',', ';')));
    }

    /** Adds a row for a figure that is void. */
    void addVoid(String kind, int size, String rate, String metric, String unit, String why) {
        rows.add(new Row(kind, size, rate, metric, VOID, unit, why.replace(',', ';')));
    }

    /** Removes the figures of a size whose kind matches. */
    void remove(int size, Predicate<String> kind) {
        rows.removeIf(row -> row.size == size && kind.test(row.kind));
    }

    List<Row> rows() {
        return List.copyOf(rows);
    }

    /** Returns a figure if it exists and is not void. */
    OptionalDouble value(String kind, int size, String rate, String metric) {
        return rows.stream().filter(row -> row.kind.equals(kind) && row.size == size && row.rate.equals(rate)
                && row.metric.equals(metric) && !row.value.equals(VOID))
                .mapToDouble(row -> Double.parseDouble(row.value)).findFirst();
    }

    void write(Path file) throws IOException {
        List<String> lines = new ArrayList<>(comments);
        lines.add(HEADER);
        rows.stream().map(Row::line).forEach(lines::add);
        if (file.getParent() != null) {
            Files.createDirectories(file.getParent());
        }
        Files.write(file, lines);
    }

    static String number(double value) {
        if (Math.abs(value) < ZERO_TOLERANCE) {
            return "0";
        }
        if (value == Math.rint(value) && Math.abs(value) < 1e9) {
            return "" + (long) value;
        }
        int digits = (int) Math.max(0, 3 - Math.floor(Math.log10(Math.abs(value))));
        return String.format(Locale.ROOT, "%." + digits + "f", value);
    }
}
