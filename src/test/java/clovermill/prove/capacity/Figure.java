package clovermill.prove.capacity;

/**
 * One row of a file of measurements. Kind, size, rate and metric together are its key within the file; a field that
 * does not apply is empty. The value remains text, so that a page shows exactly what a run wrote.
 */
record Figure(String kind, String size, String rate, String metric, String value, String unit, String note) {

    /** The header line. */
    static final String HEADER = "kind,size,rate,metric,value,unit,note";
    private static final int COLUMNS = 7;

    /** Parses a row; the note, the last column, may contain commas. */
    static Figure parse(String row) {
        String[] cells = row.split(",", COLUMNS);
        if (cells.length != COLUMNS) {
            throw new IllegalArgumentException("a row has " + cells.length + " cells, expected " + COLUMNS + ": "
                    + row);
        }
        String note = cells[6].replaceAll("^\"|\"$", "");
        return new Figure(cells[0], cells[1], cells[2], cells[3], cells[4], cells[5], note);
    }

    String row() {
        return String.join(",", kind, size, rate, metric, value, unit, note);
    }

    /** Returns the key of the row within its file, in the form that references in the page use. */
    String key() {
        return key(kind, size, rate, metric);
    }

    static String key(String kind, String size, String rate, String metric) {
        return kind + "/" + size + "/" + rate + "/" + metric;
    }
}
