package clovermill.simulation.emulator.policystore;

import java.util.TreeMap;

/**
 * Sees what was done by which versions, in the order of true time, and knows nothing of how that came about. What
 * breaks the promise: something done by none of the versions that another thing of the same moment obeyed, or by
 * versions older than one that anything was done by alone.
 */
final class InvariantChecker {

    private final TreeMap<Integer, long[]> acting = new TreeMap<>();
    private long highestAlone;
    private long mixed;
    private long back;
    private String first;

    /** Forgets who did what at the moment before. */
    void moment() {
        acting.clear();
    }

    /** A director did something by a version, or by what two versions allow. */
    void acted(long atUs, int director, long version, long next) {
        long newest = Math.max(version, next);
        if (newest < highestAlone) {
            back++;
            first = first == null ? "at " + atUs + " director " + director + " acted by " + version + "/" + next
                    + " after " + highestAlone : first;
        }
        if (next < 0) {
            highestAlone = Math.max(highestAlone, version);
        }
        acting.put(director, new long[] {version, next});
    }

    /** The moment is over: whether one version was obeyed by all. */
    void checkMoment(long atUs) {
        long[] any = acting.isEmpty() ? null : acting.firstEntry().getValue();
        if (any != null && !obeyed(any[0]) && !(any[1] >= 0 && obeyed(any[1]))) {
            mixed++;
            first = first == null ? "at " + atUs + " nothing that all obeyed" : first;
        }
    }

    private boolean obeyed(long version) {
        return acting.values().stream().allMatch(each -> each[0] == version || each[1] == version);
    }

    long broken() {
        return mixed + back;
    }

    String first() {
        return first;
    }
}
