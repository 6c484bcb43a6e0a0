package clovermill.simulation.emulator.policystore;

import java.util.TreeMap;

/**
 * Checks the store's invariants from the outside: it is given which director acts by which versions, in the order of
 * true time, and shares no code with what it checks. Violations: directors that act at the same moment without a common
 * version, and a director that acts by versions older than one that was in force alone.
 */
final class InvariantChecker {

    private final TreeMap<Integer, long[]> acting = new TreeMap<>();
    private long newestAlone;
    private long mixedMoments;
    private long regressions;
    private String firstViolation;

    /** Starts a new moment. */
    void beginMoment() {
        acting.clear();
    }

    /** A director acts by a version, or by what two versions allow where {@code next} is one. */
    void recordAction(long atUs, int director, long version, long next) {
        long newest = Math.max(version, next);
        if (newest < newestAlone) {
            regressions++;
            firstViolation = firstViolation == null
                    ? "at " + atUs + " director " + director + " acted by " + version + "/" + next
                            + " after " + newestAlone
                    : firstViolation;
        }
        if (next < 0) {
            newestAlone = Math.max(newestAlone, version);
        }
        acting.put(director, new long[] {version, next});
    }

    /** Ends the moment: all that acted must have obeyed a common version. */
    void endMoment(long atUs) {
        long[] any = acting.isEmpty() ? null : acting.firstEntry().getValue();
        if (any != null && !isObeyedByAll(any[0]) && !(any[1] >= 0 && isObeyedByAll(any[1]))) {
            mixedMoments++;
            firstViolation = firstViolation == null ? "at " + atUs + " no version that all obeyed" : firstViolation;
        }
    }

    private boolean isObeyedByAll(long version) {
        return acting.values().stream().allMatch(each -> each[0] == version || each[1] == version);
    }

    /** How many violations there were. */
    long violations() {
        return mixedMoments + regressions;
    }

    /** The first violation, or null. */
    String firstViolation() {
        return firstViolation;
    }
}
