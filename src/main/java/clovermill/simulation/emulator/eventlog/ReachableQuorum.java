package clovermill.simulation.emulator.eventlog;

import java.util.List;
import java.util.function.BiPredicate;

/**
 * Whether a machine reaches a part of the replicas that can elect a leader whatever their logs hold: three voters, a
 * quorum of four, of which each reaches each other. A voter that reaches two others who do not reach each other is not
 * enough: Raft elects only who has a log as new as its voters', and the one in the middle may have an older one (seed
 * 29 of the proof: 0-3-2, replica 1 down, logs to 85, 81 and 85).
 */
final class ReachableQuorum {

    private ReachableQuorum() {}

    /** Whether a machine reaches one of three voters of which each reaches each other. */
    static boolean isReachable(int machine, List<Integer> voters, BiPredicate<Integer, Integer> linked) {
        return voters.stream().filter(one -> linked.test(machine, one))
                .anyMatch(one -> isOfThree(one, voters, linked));
    }

    private static boolean isOfThree(int one, List<Integer> voters, BiPredicate<Integer, Integer> linked) {
        List<Integer> linkedToOne = voters.stream().filter(each -> each != one && linked.test(one, each)).toList();
        return linkedToOne.stream()
                .anyMatch(second -> linkedToOne.stream()
                        .anyMatch(third -> !second.equals(third) && linked.test(second, third)));
    }
}
