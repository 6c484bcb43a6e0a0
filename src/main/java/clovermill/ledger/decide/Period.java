package clovermill.ledger.decide;

/** A time span for which totals are computed, in milliseconds since the Unix epoch. */
public record Period(long startMs, long lengthMs) implements Comparable<Period> {

    /** Returns the period that contains a time; periods of one length tile the time line from the Unix epoch on. */
    public static Period of(long timeMs, long lengthMs) {
        return new Period(Math.floorDiv(timeMs, lengthMs) * lengthMs, lengthMs);
    }

    /** Returns the exclusive end of the period. */
    public long endMs() {
        return startMs + lengthMs;
    }

    @Override
    public int compareTo(Period other) {
        int byStart = Long.compare(startMs, other.startMs);
        return byStart != 0 ? byStart : Long.compare(lengthMs, other.lengthMs);
    }
}
