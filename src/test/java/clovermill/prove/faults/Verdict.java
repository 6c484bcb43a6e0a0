package clovermill.prove.faults;

/**
 * The faults and rule violations of one or more runs, as observed outside the directors.
 *
 * @param faults failed calls and wall clock steps in the directors
 * @param lost requests without a final response in time, and directors that did not start or exited unexpectedly
 * @param duplicate effects executed twice, and duplicate responses
 * @param stale responses from a copy older than a purge, to requests received after the purge's notice window
 * @param drained requests to, and fills from, a draining cache after the grace period
 * @param overloaded cold caches that received more requests than the bound on slow start
 */
record Verdict(long faults, long lost, long duplicate, long stale, long drained, long overloaded) {

    static final Verdict NONE = new Verdict(0, 0, 0, 0, 0, 0);

    Verdict plus(Verdict other) {
        return new Verdict(faults + other.faults, lost + other.lost, duplicate + other.duplicate, stale + other.stale,
                drained + other.drained, overloaded + other.overloaded);
    }

    /** Returns true if faults occurred and no rule was broken. */
    boolean holds() {
        return faults > 0 && lost + duplicate + stale + drained + overloaded == 0;
    }

    @Override
    public String toString() {
        return "faults=" + faults + " lost=" + lost + " duplicate=" + duplicate + " stale=" + stale + " drained="
                + drained + " overloaded=" + overloaded;
    }
}
