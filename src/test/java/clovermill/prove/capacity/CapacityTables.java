package clovermill.prove.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Writes figures from the files of {@code docs/capacity} into {@code docs/CAPACITY.md} ({@code make capacity-page}).
 *
 * <p>A block {@code <!-- table: FILE/KIND -->} to {@code <!-- end -->} becomes the table of that kind: one line for
 * each size and rate with a column for each metric, or transposed where there are more metrics. {@code FILE} alone
 * denotes a file with other columns, which is shown unchanged. A span {@code <!--= FILE/KIND/SIZE/RATE/METRIC -->} to
 * {@code <!--/-->} becomes that one value with its unit. Tables and spans that begin with {@code table?} or
 * {@code <!--?} show {@link #OPEN} until a run has produced their figures.
 */
public final class CapacityTables {

    static final Path PAGE = Path.of("docs", "CAPACITY.md");
    static final Path FIGURES = Path.of("docs", "capacity");

    /** Placeholder in the page for a figure that no run has produced yet. */
    static final String OPEN = "OPEN";
    /** Value in a file of a figure that was measured on an overloaded machine. */
    static final String VOID = "void";

    private static final Pattern TABLE = Pattern.compile("<!-- table([:?]) ([^ ]+) -->\n(.*?)<!-- end -->",
            Pattern.DOTALL);
    private static final Pattern SPAN = Pattern.compile("<!--([=?]) ([^ ]+) -->(.*?)<!--/-->");
    private static final Pattern CODE = Pattern.compile("`[^`\n]*`");
    /** Matches a number with a unit, which only a measurement, the model or the target may supply. */
    private static final Pattern FIGURE = Pattern.compile(
            "[0-9][0-9.,]*\\s?(%|[A-Za-z]+/s|µs|us|ms|s|min|h|B|kB|KB|MB|GB|bytes)(?![A-Za-z0-9/])");

    /** The largest number of metric columns in a table of the page. */
    private static final int MAX_COLUMNS = 11;

    private final Map<String, FigureFile> files;

    CapacityTables(Map<String, FigureFile> files) {
        this.files = files;
    }

    /** Recomputes the model's rows, then renders the page. */
    public static void main(String[] arguments) throws IOException {
        CapacityModel.derive(measured()).write(FIGURES.resolve(CapacityModel.NAME + ".csv"));
        Files.writeString(PAGE, new CapacityTables(readAll()).render(Files.readString(PAGE)));
    }

    /** Returns all files of measurements, by name without extension. */
    static Map<String, FigureFile> readAll() throws IOException {
        Map<String, FigureFile> files = new TreeMap<>();
        try (Stream<Path> all = Files.list(FIGURES)) {
            for (Path file : all.filter(each -> each.toString().endsWith(".csv")).sorted().toList()) {
                FigureFile read = FigureFile.read(file);
                files.put(read.name().replace(".csv", ""), read);
            }
        }
        return files;
    }

    /** Returns all files except the model's own. */
    static Map<String, FigureFile> measured() throws IOException {
        Map<String, FigureFile> files = readAll();
        files.remove(CapacityModel.NAME);
        return files;
    }

    /** Returns the page with every generated part rendered again. */
    String render(String page) {
        String tables = replace(page, TABLE, found -> "<!-- table" + found.group(1) + " " + found.group(2) + " -->\n"
                + (found.group(1).equals("?") && !hasTable(found.group(2)) ? OPEN + "\n" : table(found.group(2)))
                + "<!-- end -->");
        return replace(tables, SPAN, found -> "<!--" + found.group(1) + " " + found.group(2) + " -->"
                + (found.group(1).equals("?") && !hasValue(found.group(2)) ? OPEN : value(found.group(2)))
                + "<!--/-->");
    }

    private boolean hasValue(String reference) {
        int slash = reference.indexOf('/');
        FigureFile file = files.get(reference.substring(0, slash));
        String key = reference.substring(slash + 1);
        return file != null && file.has(key) && !file.figure(key).value().equals(VOID);
    }

    private boolean hasTable(String reference) {
        int slash = reference.indexOf('/');
        FigureFile file = files.get(slash < 0 ? reference : reference.substring(0, slash));
        return file != null && (slash < 0 || !file.ofKind(reference.substring(slash + 1)).isEmpty());
    }

    /** Returns numbers with units in hand-written text, which is not updated from the files. */
    static List<String> figuresInProse(String page) {
        String prose = CODE.matcher(SPAN.matcher(TABLE.matcher(page).replaceAll("")).replaceAll("")).replaceAll("");
        return FIGURE.matcher(prose).results().map(MatchResult::group).toList();
    }

    private static String replace(String text, Pattern pattern, Function<MatchResult, String> with) {
        return pattern.matcher(text).replaceAll(found -> Matcher.quoteReplacement(with.apply(found)));
    }

    private FigureFile file(String name) {
        FigureFile file = files.get(name);
        if (file == null) {
            throw new IllegalArgumentException("docs/capacity has no file " + name + ".csv");
        }
        return file;
    }

    private String value(String reference) {
        int slash = reference.indexOf('/');
        Figure figure = file(reference.substring(0, slash)).figure(reference.substring(slash + 1));
        return figure.value() + (figure.unit().isEmpty() ? "" : figure.unit().equals("%") ? "%" : " " + figure.unit());
    }

    private String table(String reference) {
        int slash = reference.indexOf('/');
        FigureFile file = file(slash < 0 ? reference : reference.substring(0, slash));
        if (slash < 0) {
            return markdown(file.header(), file.cells()) + source(file, "");
        }
        List<Figure> rows = file.ofKind(reference.substring(slash + 1));
        if (rows.isEmpty()) {
            throw new IllegalArgumentException(file.name() + " has no rows of kind " + reference.substring(slash + 1));
        }
        boolean single = rows.stream().allMatch(row -> row.size().isEmpty() && row.rate().isEmpty());
        return (single ? list(rows) : pivot(rows)) + source(file, ", kind `" + reference.substring(slash + 1) + "`");
    }

    private static String source(FigureFile file, String kind) {
        return "\nFrom `docs/capacity/" + file.name() + "`" + kind + "; " + String.join("; ", file.comments()) + ".\n";
    }

    /** Renders one line for each metric. */
    private static String list(List<Figure> rows) {
        List<List<String>> lines = new ArrayList<>();
        rows.forEach(row -> lines.add(List.of(row.metric(), row.value(), row.unit(), row.note())));
        return markdown(List.of("metric", "value", "unit", "note"), lines);
    }

    /** Renders a line for each size and rate and a column for each metric, or transposed if that is narrower. */
    private static String pivot(List<Figure> rows) {
        boolean sizes = rows.stream().anyMatch(row -> !row.size().isEmpty());
        boolean rates = rows.stream().anyMatch(row -> !row.rate().isEmpty());
        Set<String> metrics = new LinkedHashSet<>();
        Map<List<String>, Map<String, Figure>> cellsByKey = new LinkedHashMap<>();
        for (Figure row : rows) {
            metrics.add(column(row));
            List<String> rowKey = Stream.of(sizes ? row.size() : null, rates ? row.rate() : null)
                    .filter(each -> each != null).toList();
            cellsByKey.computeIfAbsent(rowKey, any -> new LinkedHashMap<>()).put(column(row), row);
        }
        List<String> head = Stream.of(sizes ? "size" : null, rates ? "rate" : null)
                .filter(each -> each != null).toList();
        return metrics.size() > Math.max(MAX_COLUMNS, cellsByKey.size()) ? byMetric(head, metrics, cellsByKey)
                : byRowKey(head, metrics, cellsByKey);
    }

    private static String byRowKey(List<String> head, Set<String> metrics,
            Map<List<String>, Map<String, Figure>> cellsByKey) {
        List<String> header = new ArrayList<>(head);
        header.addAll(metrics);
        boolean notes = cellsByKey.values().stream().anyMatch(found -> !notes(found).isEmpty());
        if (notes) {
            header.add("note");
        }
        List<List<String>> lines = new ArrayList<>();
        cellsByKey.forEach((rowKey, found) -> {
            List<String> line = new ArrayList<>(rowKey);
            metrics.forEach(metric -> line.add(cell(found, metric)));
            if (notes) {
                line.add(notes(found));
            }
            lines.add(line);
        });
        return markdown(header, lines);
    }

    private static String byMetric(List<String> head, Set<String> metrics,
            Map<List<String>, Map<String, Figure>> cellsByKey) {
        List<String> header = new ArrayList<>(List.of(String.join(", ", head)));
        cellsByKey.keySet().forEach(rowKey -> header.add(String.join(", ", rowKey)));
        List<List<String>> lines = new ArrayList<>();
        metrics.forEach(metric -> {
            List<String> line = new ArrayList<>(List.of(metric));
            cellsByKey.values().forEach(found -> line.add(cell(found, metric)));
            lines.add(line);
        });
        return markdown(header, lines);
    }

    private static String cell(Map<String, Figure> found, String metric) {
        return found.containsKey(metric) ? found.get(metric).value() : "";
    }

    private static String notes(Map<String, Figure> found) {
        return found.values().stream().map(Figure::note).filter(note -> !note.isEmpty()).distinct()
                .collect(Collectors.joining("; "));
    }

    private static String column(Figure figure) {
        return figure.metric() + (figure.unit().isEmpty() ? "" : " (" + figure.unit() + ")");
    }

    private static String markdown(List<String> header, List<List<String>> lines) {
        StringBuilder text = new StringBuilder();
        text.append("| ").append(String.join(" | ", header)).append(" |\n");
        text.append("| ").append(header.stream().map(any -> "---").collect(Collectors.joining(" | "))).append(" |\n");
        lines.forEach(line -> text.append("| ").append(String.join(" | ", line)).append(" |\n"));
        return text.toString();
    }
}
