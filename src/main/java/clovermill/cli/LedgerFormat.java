package clovermill.cli;

import clovermill.ledger.decide.Totals;
import clovermill.ledger.decide.TotalsAggregator;
import clovermill.ledger.export.BatchText;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The output format of times, names and totals in the ledger commands. */
final class LedgerFormat {

    /** The columns of {@link #row}. */
    static final List<String> COLUMNS = List.of("period", "state", "tenant", "requests", "served", "notmod",
            "refused", "failed", "gone", "broken", "bytes", "parent", "origin", "missed");

    private static final List<Totals.Sum> COLUMN_SUMS = List.of(Totals.Sum.REQUESTS, Totals.Sum.SERVED,
            Totals.Sum.NOT_MODIFIED, Totals.Sum.REFUSED, Totals.Sum.FAILED, Totals.Sum.GONE, Totals.Sum.BROKEN_OFF,
            Totals.Sum.BYTES, Totals.Sum.PARENT_BYTES, Totals.Sum.ORIGIN_BYTES, Totals.Sum.MISSED_REQUESTS);

    private LedgerFormat() {}

    /** Formats a time as ISO 8601, or {@code -} for none. */
    static String time(long ms) {
        return ms == Long.MIN_VALUE ? "-" : Instant.ofEpochMilli(ms).toString();
    }

    /** Replaces the control characters of a tenant name, which a terminal would interpret. */
    static String printable(String name) {
        return name.isEmpty() ? "(others)" : name.replaceAll("\\p{Cntrl}", "?");
    }

    /** Returns the totals of a tenant and period as a row of the table. */
    static List<String> row(TotalsAggregator.Key key, String state, Totals totals) {
        List<String> row = new ArrayList<>(List.of(time(key.period().startMs()), state, printable(key.tenant())));
        COLUMN_SUMS.forEach(sum -> row.add(Long.toString(totals.get(sum))));
        return row;
    }

    /** Returns the totals of a tenant and period as a JSON object. */
    static Map<String, Object> object(TotalsAggregator.Key key, String state, Totals totals) {
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("period", time(key.period().startMs()));
        object.put("period_s", key.period().lengthMs() / 1000);
        object.put("state", state);
        object.put("tenant", key.tenant());
        object.putAll(BatchText.named(totals));
        return object;
    }
}
