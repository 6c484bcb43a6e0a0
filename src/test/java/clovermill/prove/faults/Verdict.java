package clovermill.prove.faults;

/**
 * What was seen from outside.
 *
 * @param faults calls that failed and steps of the wall clock that the directors met
 * @param lost requests without a final answer in time, and directors that did not start or ended by themselves
 * @param duplicate effects that took place twice, and second answers
 * @param stale answers from a copy older than a purge, to requests that came later than the window after it
 * @param drained requests, and fills named, that came to a draining cache beyond the grace
 * @param overloaded caches that were sent more than the bound on slow start while they were cold
 */
record Verdict(long faults, long lost, long duplicate, long stale, long drained, long overloaded) {

    static final Verdict NONE = new Verdict(0, 0, 0, 0, 0, 0);

    Verdict plus(Verdict other) {
        return new Verdict(faults + other.faults, lost + other.lost, duplicate + other.duplicate, stale + other.stale,
                drained + other.drained, overloaded + other.overloaded);
    }

    /** Whether faults were met and no rule was broken. */
    boolean holds() {
        return faults > 0 && lost + duplicate + stale + drained + overloaded == 0;
    }

    @Override
    public String toString() {
        return "faults=" + faults + " lost=" + lost + " duplicate=" + duplicate + " stale=" + stale + " drained="
                + drained + " overloaded=" + overloaded;
    }
}
