package clovermill.controlplane.consensus;

import java.util.HashMap;
import java.util.Map;

/**
 * Determines how far a leader moves a follower's next index back after each append that did not match the follower's
 * log: by 1, 2, 4 and so on until one matches (galloping search; Bentley, Yao, 1976). The matching index of a follower
 * that lacks n entries is found after log2(n) round trips, and at most 2 n entries are sent. Not thread-safe.
 */
final class NextIndexSearch {

    /**
     * The state of the search at one follower.
     *
     * @param expectedNextIndex the index at which the last append did not match
     * @param steps the number of entries by which the next index was then moved back
     */
    private record Probe(int term, long expectedNextIndex, long steps) {}

    /** The searches in progress by follower: at most one for each member with a failed append and no match since. */
    private final Map<Object, Probe> probes = new HashMap<>();

    /**
     * Returns the steps to move back after a failed append; 1 for a duplicate or late failure, which the leader
     * ignores.
     */
    long stepsBack(Object follower, int term, long expectedNextIndex) {
        Probe last = probes.get(follower);
        if (last != null && last.term == term && expectedNextIndex >= last.expectedNextIndex) {
            return 1;
        }
        long doubled = last == null || last.term != term ? 1 : 2 * last.steps;
        long steps = Math.max(1, Math.min(doubled, expectedNextIndex - 1));
        probes.put(follower, new Probe(term, expectedNextIndex, steps));
        return steps;
    }

    /** Ends the search after an append that matched; the next failure starts a new one. */
    void matched(Object follower) {
        probes.remove(follower);
    }
}
