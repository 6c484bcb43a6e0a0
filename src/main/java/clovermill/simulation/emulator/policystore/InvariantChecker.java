package clovermill.simulation.emulator.policystore;

import java.util.TreeMap;

/**
 * Checks the store's invariants from the outside: it receives the versions that each director applies, in the order of
 * true time, and shares no code with the store. Violations: directors that apply policies at the same moment without a
 * common version, and a director that applies versions older than one that was already in force alone.
 */
final class InvariantChecker {

    private final TreeMap<Integer, long[]> appliedVersions = new TreeMap<>();
    private long newestAlone;
    private long mixedMoments;
    private long regressions;
    private String firstViolation;

    /** Starts a new moment. */
    void beginMoment() {
        appliedVersions.clear();
    }

    /** Records that a director applies a version, or during a transition both that and {@code next}, else negative. */
    void recordAction(long atUs, int director, long version, long next) {
        long newest = Math.max(version, next);
        if (newest < newestAlone) {
            regressions++;
            firstViolation = firstViolation == null
                    ? "at " + atUs + " director " + director + " applied " + version + "/" + next
                            + " after " + newestAlone
                    : firstViolation;
        }
        if (next < 0) {
            newestAlone = Math.max(newestAlone, version);
        }
        appliedVersions.put(director, new long[] {version, next});
    }

    /** Completes the moment; all directors that were recorded in it must share a version. */
    void endMoment(long atUs) {
        long[] any = appliedVersions.isEmpty() ? null : appliedVersions.firstEntry().getValue();
        if (any != null && !isAppliedByAll(any[0]) && !(any[1] >= 0 && isAppliedByAll(any[1]))) {
            mixedMoments++;
            firstViolation =
                    firstViolation == null ? "at " + atUs + " directors without a common version" : firstViolation;
        }
    }

    private boolean isAppliedByAll(long version) {
        return appliedVersions.values().stream().allMatch(each -> each[0] == version || each[1] == version);
    }

    /** Returns the number of violations. */
    long violations() {
        return mixedMoments + regressions;
    }

    /** Returns a description of the first violation, or null. */
    String firstViolation() {
        return firstViolation;
    }
}
