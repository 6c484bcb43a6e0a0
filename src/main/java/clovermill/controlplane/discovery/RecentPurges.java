package clovermill.controlplane.discovery;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The purges that this process has applied, for its successor. Bounded by number: beyond that, those applied first are
 * merged into one purge of all objects. Does no I/O and reads no clock.
 */
final class RecentPurges {

    /** The maximum number of single purges. */
    static final int MAX_PURGES = 1_000;
    /** The number of groups into which the objects are divided (the protocol page, field {@code bucket}). */
    static final int GROUPS = 256;
    private static final long NEVER_US = Long.MIN_VALUE;

    private record Applied(CopiesPurged purge, long madeUs) {}

    private final ArrayDeque<Applied> applied = new ArrayDeque<>();
    /** When the latest of the merged purges was made, on the monotonic clock. */
    private long mergedUs = NEVER_US;

    /** Adds a purge that was made at {@code madeUs} of the monotonic clock, or earlier. */
    void add(CopiesPurged purge, long madeUs) {
        applied.add(new Applied(purge, madeUs));
        if (applied.size() > MAX_PURGES) {
            mergedUs = Math.max(mergedUs, applied.poll().madeUs);
        }
    }

    /** Returns the purges in the order in which they were applied, merged ones as purges of each group. */
    List<AgedPurge> aged(long nowUs) {
        List<AgedPurge> aged = new ArrayList<>();
        for (int group = 0; mergedUs != NEVER_US && group < GROUPS; group++) {
            aged.add(new AgedPurge(new CopiesPurged(0, null, group, 0), nowUs - mergedUs));
        }
        applied.forEach(each -> aged.add(new AgedPurge(each.purge, nowUs - each.madeUs)));
        return aged;
    }
}
