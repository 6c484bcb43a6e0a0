package clovermill.simulation.emulator.eventlog;

import java.util.List;
import java.util.function.BiPredicate;

/**
 * Determines whether a machine reaches replicas that can elect a leader regardless of their logs: three voters, a
 * quorum of four, that are pairwise connected. A voter that reaches two others that do not reach each other is not
 * enough: Raft elects only a candidate whose log is at least as recent as its voters' logs, and the one in the middle
 * may have an older log (seed 29 of the proof: 0-3-2, replica 1 down, logs to 85, 81 and 85).
 */
final class ReachableQuorum {

    private ReachableQuorum() {}

    /** Returns whether a machine reaches one of three pairwise connected voters. */
    static boolean isReachable(int machine, List<Integer> voters, BiPredicate<Integer, Integer> linked) {
        return voters.stream().filter(one -> linked.test(machine, one))
                .anyMatch(one -> isInConnectedTriple(one, voters, linked));
    }

    private static boolean isInConnectedTriple(int one, List<Integer> voters, BiPredicate<Integer, Integer> linked) {
        List<Integer> neighbours = voters.stream().filter(each -> each != one && linked.test(one, each)).toList();
        return neighbours.stream()
                .anyMatch(second -> neighbours.stream()
                        .anyMatch(third -> !second.equals(third) && linked.test(second, third)));
    }
}
