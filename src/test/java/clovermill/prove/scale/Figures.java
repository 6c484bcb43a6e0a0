package clovermill.prove.scale;

/** Adds rows of one size and rate to a table; they are void if the machine was overloaded during the measurement. */
record Figures(ResultTable table, int size, String rate, String overload) {

    /** Kinds of directors. */
    static final String HOLLOW = "hollow";
    static final String REAL = "real";
    static final String VOTER = "voter";

    /** Adds a figure, or a void row if the machine was overloaded. */
    void add(String kind, String metric, double value, String unit, String note) {
        if (overload == null) {
            addUnconditionally(kind, metric, value, unit, note);
        } else {
            table.addVoid(kind, size, rate, metric, unit, overload);
        }
    }

    /** Adds a figure that is valid even if the machine was overloaded. */
    void addUnconditionally(String kind, String metric, double value, String unit, String note) {
        table.add(kind, size, rate, metric, value, unit, note);
    }
}
