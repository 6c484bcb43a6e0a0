package clovermill.prove.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A file of measurements: comment lines that describe the run, a header, and one {@link Figure} a row. A file
 * with other columns is stored as cells only.
 */
final class FigureFile {

    private final String name;
    private final List<String> comments = new ArrayList<>();
    private final Map<String, Figure> figures = new LinkedHashMap<>();
    private final List<List<String>> cells = new ArrayList<>();
    private List<String> header = List.of();

    FigureFile(String name) {
        this.name = name;
    }

    static FigureFile read(Path file) throws IOException {
        return parse(file.getFileName().toString(), Files.readAllLines(file));
    }

    static FigureFile parse(String name, List<String> lines) {
        FigureFile result = new FigureFile(name);
        boolean figures = false;
        for (String line : lines) {
            if (line.startsWith("#")) {
                result.comment(line.substring(1).strip());
            } else if (result.header.isEmpty()) {
                result.header = List.of(line.split(",", -1));
                figures = line.equals(Figure.HEADER);
            } else if (!line.isBlank()) {
                result.cells.add(List.of(line.split(",", result.header.size())));
                if (figures) {
                    result.add(Figure.parse(line));
                }
            }
        }
        if (!result.header.contains("kind")) {
            throw new IllegalArgumentException(name + ": the header has no column kind");
        }
        return result;
    }

    void comment(String text) {
        comments.add(text);
    }

    void add(Figure figure) {
        if (figures.putIfAbsent(figure.key(), figure) != null) {
            throw new IllegalArgumentException(name + ": duplicate figure " + figure.key());
        }
    }

    /** Adds a measured number, formatted with a fixed number of decimals. */
    void add(String kind, Object size, Object rate, String metric, double value, int decimals, String unit,
            String note) {
        add(new Figure(kind, size.toString(), rate.toString(), metric,
                String.format(Locale.ROOT, "%." + decimals + "f", value), unit, note));
    }

    void write(Path file) throws IOException {
        List<String> lines = new ArrayList<>();
        comments.forEach(comment -> lines.add("# " + comment));
        lines.add(Figure.HEADER);
        figures.values().forEach(figure -> lines.add(figure.row()));
        Files.createDirectories(file.toAbsolutePath().getParent());
        Files.write(file, lines);
    }

    String name() {
        return name;
    }

    List<String> comments() {
        return List.copyOf(comments);
    }

    /** Returns the column names in file order. */
    List<String> header() {
        return header;
    }

    /** Returns all rows as text cells. */
    List<List<String>> cells() {
        return List.copyOf(cells);
    }

    Collection<Figure> figures() {
        return List.copyOf(figures.values());
    }

    List<Figure> ofKind(String kind) {
        return figures.values().stream().filter(figure -> figure.kind().equals(kind)).toList();
    }

    boolean has(String key) {
        return figures.containsKey(key);
    }

    /**
     * Returns the row with a key.
     *
     * @throws IllegalArgumentException if there is none, as the page would show nothing
     */
    Figure figure(String key) {
        Figure figure = figures.get(key);
        if (figure == null) {
            throw new IllegalArgumentException(name + " has no figure " + key);
        }
        return figure;
    }

    double number(String key) {
        return Double.parseDouble(figure(key).value());
    }
}
