package clovermill.controlplane.consensus;

import java.util.HashMap;
import java.util.Map;

/**
 * How far a leader moves a follower's next index back after each append that did not match the follower's log: by 1, 2,
 * 4 and so on until one matches (galloping search; Bentley, Yao, 1976). A follower that lacks n entries is found after
 * log2(n) round trips, and is sent at most 2 n entries. Not thread-safe.
 */
final class NextIndexSearch {

    /**
     * The search at one follower.
     *
     * @param expectedNextIndex the index at which the last append did not match
     * @param steps how far the next index was moved back then
     */
    private record Probe(int term, long expectedNextIndex, long steps) {}

    /** Present searches by follower: at most one for each member that has failed and not yet matched. */
    private final Map<Object, Probe> probes = new HashMap<>();

    /** The steps to move back after a failed append; 1 for a repeated or late failure, which the leader ignores. */
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

    /** An append matched: the next failure begins a new search. */
    void matched(Object follower) {
        probes.remove(follower);
    }
}
