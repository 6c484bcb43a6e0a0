package clovermill.ledger.export;

import clovermill.ledger.LedgerFolder;
import clovermill.ledger.decide.TotalsAggregator;
import clovermill.ledger.decide.Period;
import clovermill.ledger.decide.Totals;
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
 * A batch as CSV (RFC 4180) or as JSON lines: one row for each total and correction, the same bytes whenever it is
 * made. In CSV a name's letters that could end a line or be taken for a formula are written as {@code %XX}, as is
 * the percent sign; {@link #plain} turns them back.
 */
public final class BatchText {

    /** The forms. */
    public enum Form {
        CSV, JSONL;

        /** The ending of such a file's name. */
        public String ending() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** One row as it is read back from CSV. */
    public record Row(String kind, TotalsAggregator.Key key, Totals totals) {}

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final CSVFormat CSV = CSVFormat.RFC4180;
    private static final String FORMULA = "=+-@";

    private BatchText() {}

    /** The bytes of a batch. */
    public static byte[] of(LedgerFolder.Identity identity, TotalsAggregator.Batch batch, Form form)
            throws IOException {
        StringBuilder text = new StringBuilder();
        List<String> names = names();
        if (form == Form.CSV) {
            CSVPrinter printer = new CSVPrinter(text, CSV);
            printer.printRecord(names);
            for (List<Object> row : rows(identity, batch)) {
                List<Object> safe = new ArrayList<>(row);
                safe.replaceAll(value -> value instanceof String name ? escaped(name) : value);
                printer.printRecord(safe);
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

    /** The columns. */
    static List<String> names() {
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
                    Long.parseLong(each.get("period_s")) * 1000), plain(each.get("tenant"))), new Totals(sums)));
        }
        return rows;
    }

    /** A name without what could end a line or start a formula. */
    static String escaped(String name) {
        StringBuilder safe = new StringBuilder();
        for (int i = 0; i < name.length(); i++) {
            char letter = name.charAt(i);
            if (letter < ' ' || letter == 0x7f || letter == '%' || i == 0 && FORMULA.indexOf(letter) >= 0) {
                safe.append(String.format("%%%02X", (int) letter));
            } else {
                safe.append(letter);
            }
        }
        return safe.toString();
    }

    /** Turns {@link #escaped} back. */
    static String plain(String safe) {
        StringBuilder name = new StringBuilder();
        for (int i = 0; i < safe.length(); i++) {
            if (safe.charAt(i) == '%' && i + 2 < safe.length()) {
                name.append((char) Integer.parseInt(safe.substring(i + 1, i + 3), 16));
                i += 2;
            } else {
                name.append(safe.charAt(i));
            }
        }
        return name.toString();
    }

    /** The sums by their names, in order. */
    public static Map<String, Long> named(Totals totals) {
        Map<String, Long> named = new LinkedHashMap<>();
        for (Totals.Sum sum : Totals.Sum.values()) {
            named.put(sum.name().toLowerCase(Locale.ROOT), totals.get(sum));
        }
        return named;
    }
}
