package clovermill.ledger.export;

import clovermill.ledger.LedgerFolder;
import clovermill.ledger.decide.Period;
import clovermill.ledger.decide.Totals;
import clovermill.ledger.decide.TotalsAggregator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import org.apache.commons.csv.CSVRecord;

/**
 * The text of a batch as CSV (RFC 4180) or as JSON lines: one row for each total and correction, always with the same
 * bytes. In CSV, characters of a name that could end a line or start a formula, and the percent sign, are written as
 * {@code %XX}; {@link #unescaped} decodes them.
 */
public final class BatchText {

    /** The formats. */
    public enum Form {
        CSV, JSONL;

        /** Returns the file name extension. */
        public String extension() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** A row that was read from CSV. */
    public record Row(String kind, TotalsAggregator.Key key, Totals totals) {}

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final CSVFormat CSV = CSVFormat.RFC4180;
    private static final String FORMULA_STARTS = "=+-@";

    private BatchText() {}

    /** Returns the bytes of a batch. */
    public static byte[] of(LedgerFolder.Identity identity, TotalsAggregator.Batch batch, Form form)
            throws IOException {
        StringBuilder text = new StringBuilder();
        List<String> names = columnNames();
        if (form == Form.CSV) {
            CSVPrinter printer = new CSVPrinter(text, CSV);
            printer.printRecord(names);
            for (List<Object> row : rows(identity, batch)) {
                List<Object> escapedRow = new ArrayList<>(row);
                escapedRow.replaceAll(value -> value instanceof String name ? escaped(name) : value);
                printer.printRecord(escapedRow);
            }
        } else {
            for (List<Object> row : rows(identity, batch)) {
                ObjectNode node = JSON.createObjectNode();
                for (int i = 0; i < names.size(); i++) {
                    node.putPOJO(names.get(i), row.get(i));
                }
                text.append(JSON.writeValueAsString(node)).append('\n');
            }
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the column names. */
    static List<String> columnNames() {
        List<String> names = new ArrayList<>(List.of("instance", "epoch", "batch", "kind", "period_start",
                "period_s", "tenant"));
        for (Totals.Sum sum : Totals.Sum.values()) {
            names.add(sum.name().toLowerCase(Locale.ROOT));
        }
        return names;
    }

    private static List<List<Object>> rows(LedgerFolder.Identity identity, TotalsAggregator.Batch batch) {
        List<List<Object>> rows = new ArrayList<>();
        batch.totals().forEach((key, totals) -> rows.add(row(identity, batch, "total", key, totals)));
        batch.corrections().forEach((key, totals) -> rows.add(row(identity, batch, "correction", key, totals)));
        return rows;
    }

    private static List<Object> row(LedgerFolder.Identity identity, TotalsAggregator.Batch batch, String kind,
            TotalsAggregator.Key key, Totals totals) {
        List<Object> row = new ArrayList<>(List.of(identity.instance(), batch.epoch(), batch.number(), kind,
                Instant.ofEpochMilli(key.period().startMs()).toString(), key.period().lengthMs() / 1000, key.tenant()));
        for (long sum : totals.toArray()) {
            row.add(sum);
        }
        return row;
    }

    /** Reads the rows of a CSV batch. */
    public static List<Row> read(Reader from) throws IOException {
        List<Row> rows = new ArrayList<>();
        for (CSVRecord each : CSV.builder().setHeader().setSkipHeaderRecord(true).get().parse(from)) {
            long[] sums = new long[Totals.Sum.values().length];
            for (Totals.Sum sum : Totals.Sum.values()) {
                sums[sum.ordinal()] = Long.parseLong(each.get(sum.name().toLowerCase(Locale.ROOT)));
            }
            rows.add(new Row(each.get("kind"), new TotalsAggregator.Key(new Period(
                    Instant.parse(each.get("period_start")).toEpochMilli(),
                    Long.parseLong(each.get("period_s")) * 1000), unescaped(each.get("tenant"))), new Totals(sums)));
        }
        return rows;
    }

    /** Escapes a name so that it can neither end a line nor start a formula. */
    static String escaped(String name) {
        StringBuilder escapedName = new StringBuilder();
        for (int i = 0; i < name.length(); i++) {
            char character = name.charAt(i);
            if (character < ' ' || character == 0x7f || character == '%'
                    || i == 0 && FORMULA_STARTS.indexOf(character) >= 0) {
                escapedName.append(String.format("%%%02X", (int) character));
            } else {
                escapedName.append(character);
            }
        }
        return escapedName.toString();
    }

    /** Decodes a name of {@link #escaped}. */
    static String unescaped(String escapedName) {
        StringBuilder name = new StringBuilder();
        for (int i = 0; i < escapedName.length(); i++) {
            if (escapedName.charAt(i) == '%' && i + 2 < escapedName.length()) {
                name.append((char) Integer.parseInt(escapedName.substring(i + 1, i + 3), 16));
                i += 2;
            } else {
                name.append(escapedName.charAt(i));
            }
        }
        return name.toString();
    }

    /** Returns the sums by name, in order. */
    public static Map<String, Long> named(Totals totals) {
        Map<String, Long> byName = new LinkedHashMap<>();
        for (Totals.Sum sum : Totals.Sum.values()) {
            byName.put(sum.name().toLowerCase(Locale.ROOT), totals.get(sum));
        }
        return byName;
    }
}
