package clovermill.controlplane.consensus;

import static clovermill.controlplane.consensus.RaftGroup.SECOND_US;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import clovermill.controlplane.consensus.RaftGroup.Envelope;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.message.AppendEntriesRequest;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that a group cannot commit conflicting entries during membership changes. A process that lost its disk is
 * replaced in three changes of one member: its former identity is removed, the new one is added as a learner and then
 * promoted. A group of four members temporarily has three, one of five has four. MicroRaft commits with half of an even
 * group; if that applied to the change itself, {A, new} could commit in the group of four while {B, C} elect a leader
 * and commit in the group of three that they know. The test partitions the leader and some others from the rest at each
 * message around each change and appends texts on both sides. After the partition all journals must be equal and
 * contain each acknowledged text.
 */
class MembershipChangeTest {

    private static final int CHANGES = 3;
    private static final int NEVER = 10_000;
    private static final long SETTLE_TIMEOUT_US = 20 * SECOND_US;

    /** The outcome of a run, with the acknowledged texts, and the journal and the state of each process. */
    private record Outcome(boolean cut, List<String> acknowledged, List<List<String>> journals, List<String> states) {}

    /** Partitions a set of processes from the others after a number of messages since a change was first sent. */
    private static final class Partitioner {
        private final RaftGroup group;
        private final List<Integer> side;
        private final List<Integer> rest;
        private final int change;
        private final int messages;
        private final Set<Long> changesSeen = new HashSet<>();
        private int messagesSeen;
        private boolean cut;

        private Partitioner(RaftGroup group, List<Integer> side, List<Integer> rest, int change, int messages) {
            this.group = group;
            this.side = side;
            this.rest = rest;
            this.change = change;
            this.messages = messages;
        }

        private void sent(Envelope envelope) {
            if (envelope.message() instanceof AppendEntriesRequest append) {
                append.getLogEntries().stream()
                        .filter(entry -> entry.getOperation() instanceof UpdateRaftGroupMembersOp)
                        .forEach(entry -> changesSeen.add(entry.getIndex()));
            }
            messagesSeen += changesSeen.size() >= change ? 1 : 0;
            if (!cut && messagesSeen > messages) {
                cut = true;
                group.cut(side, rest, true);
            }
        }
    }

    /** The processes that are partitioned together with the leader. */
    private enum Side {
        NEW_PROCESS, ONE_VOTER, NEW_PROCESS_AND_ONE_VOTER;

        private List<Integer> members(int leader, int lost, int processes) {
            int voter = IntStream.range(0, processes).filter(each -> each != leader && each != lost).findFirst()
                    .orElseThrow();
            return switch (this) {
                case NEW_PROCESS -> List.of(leader, lost);
                case ONE_VOTER -> List.of(leader, voter);
                case NEW_PROCESS_AND_ONE_VOTER -> List.of(leader, lost, voter);
            };
        }
    }

    private static Outcome run(int processes, int change, int messages, Side with, Random random) {
        RaftGroup group = RaftGroup.started(processes, NEVER, random.nextLong());
        int leader = group.leader();
        int lost = IntStream.range(0, processes).filter(each -> each != leader).skip(random.nextInt(processes - 1))
                .findFirst().orElseThrow();
        group.appendMany(leader, 3);
        group.kill(lost);
        group.loseDisk(lost);
        List<Integer> side = with.members(leader, lost, processes);
        List<Integer> rest = new ArrayList<>(IntStream.range(0, processes).boxed().toList());
        rest.removeAll(side);
        Partitioner partitioner = new Partitioner(group, side, rest, change, messages);
        group.observe(partitioner::sent);
        group.start(lost);
        group.runUntil(all -> partitioner.cut, SETTLE_TIMEOUT_US);
        List<String> acknowledged = new ArrayList<>();
        appendAt(group, leader, "here", acknowledged);
        group.runFor(3 * SECOND_US);
        rest.stream().filter(each -> group.member(each).isLeader())
                .forEach(each -> appendAt(group, each, "there " + each, acknowledged));
        group.runFor(3 * SECOND_US);
        group.cut(side, rest, false);
        group.runUntil(all -> hasSettled(all, processes), SETTLE_TIMEOUT_US);
        return new Outcome(partitioner.cut, acknowledged,
                IntStream.range(0, processes).mapToObj(group::texts).toList(),
                IntStream.range(0, processes).mapToObj(group::describe).toList());
    }

    private static void appendAt(RaftGroup group, int node, String text, List<String> acknowledged) {
        group.append(node, text, index -> {
            if (index != null) {
                acknowledged.add(text);
            }
        });
    }

    private static boolean hasSettled(RaftGroup group, int processes) {
        return group.leaders().size() == 1
                && IntStream.range(0, processes).allMatch(each -> group.member(each).isVoter()
                        && group.texts(each).equals(group.texts(group.leaders().get(0))));
    }

    private static void assertNoConflict(Outcome outcome, String description) {
        assertThat(Set.copyOf(outcome.journals)).as(description + " " + outcome.states).hasSize(1);
        assertThat(outcome.journals.get(0)).as(description).containsAll(outcome.acknowledged).doesNotHaveDuplicates();
    }

    @ParameterizedTest
    @CsvSource({"3, 1", "3, 2", "3, 3", "4, 1", "4, 2", "4, 3", "5, 1", "5, 2", "5, 3", "7, 1", "7, 2", "7, 3"})
    void partitionAtAnyMessageAroundAChangeCausesNoConflictingCommits(int processes, int change) {
        for (Side side : Side.values()) {
            for (int messages = 0; messages < 24; messages++) {
                Outcome outcome = run(processes, change, messages, side, new Random(messages));
                assertNoConflict(outcome,
                        processes + " processes, change " + change + ", message " + messages + ", " + side);
                assertThat(outcome.cut).isTrue();
            }
        }
    }

    /** Tests the check itself with two different journals, and with an acknowledged text that no journal contains. */
    @Test
    void checkDetectsConflictingCommitsAndLostTexts() {
        Outcome twice = new Outcome(true, List.of(), List.of(List.of("here"), List.of("there")), List.of());
        assertThatThrownBy(() -> assertNoConflict(twice, "two decisions")).isInstanceOf(AssertionError.class);
        Outcome forgotten = new Outcome(true, List.of("here"), List.of(List.of("there")), List.of());
        assertThatThrownBy(() -> assertNoConflict(forgotten, "lost")).isInstanceOf(AssertionError.class);
    }

    /**
     * Runs random cases for the seeds from the first argument to before the second; prints a line for each violation.
     */
    public static void main(String[] args) {
        int violations = 0;
        int cuts = 0;
        int both = 0;
        for (long seed = Long.parseLong(args[0]); seed < Long.parseLong(args[1]); seed++) {
            Random random = new Random(seed);
            int processes = 3 + random.nextInt(5);
            Side side = Side.values()[random.nextInt(Side.values().length)];
            Outcome outcome = run(processes, 1 + random.nextInt(CHANGES), random.nextInt(80), side, random);
            cuts += outcome.cut ? 1 : 0;
            both += outcome.acknowledged.size() > 1 ? 1 : 0;
            try {
                assertNoConflict(outcome, "seed " + seed);
            } catch (AssertionError violation) {
                violations++;
                System.out.println(violation.getMessage());
            }
        }
        System.out.printf("seeds=%s..%s cut=%d both_acknowledged=%d broken=%d%n", args[0], args[1], cuts, both,
                violations);
    }
}
