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
 * Whether a group can decide twice while its members change. A process that lost its disk is replaced in three changes
 * of one member: its former identity is removed, the new one added as a learner and promoted, so a group of four goes
 * through three, and one of five through four. MicroRaft commits with half of an even group; if that held for the
 * change itself, {A, new} could commit in the group of four while {B, C} elect and commit in the group of three that
 * they know. Here the leader and some others are cut from the rest at each message around each change, texts are
 * appended on both sides, and after the cut all journals have to be equal and to hold each text that was acknowledged.
 */
class MembershipChangeTest {

    private static final int CHANGES = 3;
    private static final int NEVER = 10_000;
    private static final long PATIENCE_US = 20 * SECOND_US;

    /** What a case came to; the texts are those that were acknowledged. */
    private record Outcome(boolean cut, List<String> acknowledged, List<List<String>> journals, List<String> states) {}

    /** Cuts a set of processes from the others at the so-manieth message after a change was first sent. */
    private static final class Cutter {
        private final RaftGroup group;
        private final List<Integer> side;
        private final List<Integer> rest;
        private final int change;
        private final int messages;
        private final Set<Long> changesSeen = new HashSet<>();
        private int messagesSeen;
        private boolean cut;

        private Cutter(RaftGroup group, List<Integer> side, List<Integer> rest, int change, int messages) {
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

    /** Who is cut off with the leader. */
    private enum Side {
        THE_NEW_PROCESS, ONE_VOTER, THE_NEW_PROCESS_AND_ONE_VOTER;

        private List<Integer> members(int leader, int lost, int processes) {
            int voter = IntStream.range(0, processes).filter(each -> each != leader && each != lost).findFirst()
                    .orElseThrow();
            return switch (this) {
                case THE_NEW_PROCESS -> List.of(leader, lost);
                case ONE_VOTER -> List.of(leader, voter);
                case THE_NEW_PROCESS_AND_ONE_VOTER -> List.of(leader, lost, voter);
            };
        }
    }

    private static Outcome play(int processes, int change, int messages, Side with, Random random) {
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
        Cutter cutter = new Cutter(group, side, rest, change, messages);
        group.observe(cutter::sent);
        group.start(lost);
        group.runUntil(all -> cutter.cut, PATIENCE_US);
        List<String> acknowledged = new ArrayList<>();
        appendAt(group, leader, "here", acknowledged);
        group.runFor(3 * SECOND_US);
        rest.stream().filter(each -> group.member(each).leads()).forEach(each -> appendAt(group, each, "there " + each,
                acknowledged));
        group.runFor(3 * SECOND_US);
        group.cut(side, rest, false);
        group.runUntil(all -> settled(all, processes), PATIENCE_US);
        return new Outcome(cutter.cut, acknowledged,
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

    private static boolean settled(RaftGroup group, int processes) {
        return group.leaders().size() == 1 && IntStream.range(0, processes).allMatch(each -> group.member(each).votes()
                && group.texts(each).equals(group.texts(group.leaders().get(0))));
    }

    private static void assertDecidedOnce(Outcome outcome, String description) {
        assertThat(Set.copyOf(outcome.journals)).as(description + " " + outcome.states).hasSize(1);
        assertThat(outcome.journals.get(0)).as(description).containsAll(outcome.acknowledged).doesNotHaveDuplicates();
    }

    @ParameterizedTest
    @CsvSource({"3, 1", "3, 2", "3, 3", "4, 1", "4, 2", "4, 3", "5, 1", "5, 2", "5, 3", "7, 1", "7, 2", "7, 3"})
    void aGroupThatIsCutAtAnyMessageAroundAChangeDecidesOnce(int processes, int change) {
        for (Side side : Side.values()) {
            for (int messages = 0; messages < 24; messages++) {
                Outcome outcome = play(processes, change, messages, side, new Random(messages));
                assertDecidedOnce(outcome,
                        processes + " processes, change " + change + ", message " + messages + ", " + side);
                assertThat(outcome.cut).isTrue();
            }
        }
    }

    /** The judge itself: two journals that differ, and an acknowledged text that none holds. */
    @Test
    void aGroupThatDecidesTwiceOrForgetsIsCaught() {
        Outcome twice = new Outcome(true, List.of(), List.of(List.of("here"), List.of("there")), List.of());
        assertThatThrownBy(() -> assertDecidedOnce(twice, "two decisions")).isInstanceOf(AssertionError.class);
        Outcome forgotten = new Outcome(true, List.of("here"), List.of(List.of("there")), List.of());
        assertThatThrownBy(() -> assertDecidedOnce(forgotten, "lost")).isInstanceOf(AssertionError.class);
    }

    /** Seeds from, to: random groups, changes and moments; one line a violation. */
    public static void main(String[] args) {
        int broken = 0;
        int cuts = 0;
        int both = 0;
        for (long seed = Long.parseLong(args[0]); seed < Long.parseLong(args[1]); seed++) {
            Random random = new Random(seed);
            int processes = 3 + random.nextInt(5);
            Side side = Side.values()[random.nextInt(Side.values().length)];
            Outcome outcome = play(processes, 1 + random.nextInt(CHANGES), random.nextInt(80), side, random);
            cuts += outcome.cut ? 1 : 0;
            both += outcome.acknowledged.size() > 1 ? 1 : 0;
            try {
                assertDecidedOnce(outcome, "seed " + seed);
            } catch (AssertionError violation) {
                broken++;
                System.out.println(violation.getMessage());
            }
        }
        System.out.printf("seeds=%s..%s cut=%d both_acknowledged=%d broken=%d%n", args[0], args[1], cuts, both, broken);
    }
}
