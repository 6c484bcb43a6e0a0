package clovermill.controlplane.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.Test;

/** One replica of three, with messages made by hand. */
class RaftReplicaTest {

    private static final RaftModelFactory MODELS = new DefaultRaftModelFactory();
    private static final String GROUP = "journal";
    private static final ReplicaId SELF = new ReplicaId(0, 0);
    private static final ReplicaId OTHER = new ReplicaId(1, 0);
    private static final List<ReplicaId> ALL = List.of(SELF, OTHER, new ReplicaId(2, 0));
    private static final long SECOND_US = 1_000_000;
    private static final long STEP_US = 1000;
    private static final int TERM = 7;

    private final MemoryRaftStorage disk = new MemoryRaftStorage();
    private final RaftScheduler scheduler = new RaftScheduler(SECOND_US);
    private final List<RaftMessage> sent = new ArrayList<>();
    private RaftReplica<Journal> replica;
    private long nowUs = SECOND_US;

    private void start() {
        RaftReplica.Host host = new RaftReplica.Host(GROUP, RaftReplica.config().build(), disk, scheduler,
                new Random(1), (to, message) -> sent.add(message));
        RestoredRaftState restored = disk.restored();
        ReplicaId self = restored == null ? SELF
                : (ReplicaId) restored.getLocalEndpointPersistentState().getLocalEndpoint();
        replica = new RaftReplica<>(self, ALL, restored, new Journal(), host);
        replica.start();
        scheduler.run(nowUs);
    }

    private void runFor(long micros) {
        long until = nowUs + micros;
        while (nowUs < until) {
            nowUs += STEP_US;
            scheduler.run(nowUs);
        }
    }

    private void receive(RaftMessage message) {
        replica.handle(message, nowUs);
        scheduler.run(nowUs);
    }

    /** Waits for the next message of a kind that is sent. */
    private <T extends RaftMessage> T next(Class<T> kind) {
        sent.clear();
        for (int step = 0; step < 10_000; step++) {
            for (RaftMessage each : sent) {
                if (kind.isInstance(each)) {
                    return kind.cast(each);
                }
            }
            runFor(STEP_US);
        }
        throw new AssertionError("no " + kind.getSimpleName());
    }

    private static PreVoteResponse rejection(int term) {
        return MODELS.createPreVoteResponseBuilder().setGroupId(GROUP).setSender(OTHER).setTerm(term).setGranted(false)
                .build();
    }

    /**
     * Seed 26 of the event log's fleet: for 13 s three voters with whole links elected a leader ten times a second and
     * deposed it again, so that no purge was committed. A voter whose log is shorter asked for pre-votes in its term
     * plus one; the rejections repeated that term, and the replica adopted it, as if the others were in a higher term.
     * So its term rose by one for each rejection (370 of 970 in the trace), and its next request deposed whoever led.
     */
    @Test
    void aPreVoteThatIsRejectedForItsLogDoesNotRaiseTheTerm() {
        start();
        PreVoteRequest first = next(PreVoteRequest.class);
        receive(rejection(first.getTerm()));
        assertThat(next(PreVoteRequest.class).getTerm()).isEqualTo(first.getTerm());
    }

    /** The other side of it: without the voters' higher term the pre-votes would be rejected for ever. */
    @Test
    void aPreVoteThatIsRejectedByAHigherTermTakesThatTerm() {
        start();
        PreVoteRequest first = next(PreVoteRequest.class);
        receive(rejection(first.getTerm() + 3));
        assertThat(next(PreVoteRequest.class).getTerm()).isEqualTo(first.getTerm() + 4);
    }

    private static AppendEntriesRequest append(int term, long previousIndex, int previousTerm, LogEntry... entries) {
        return MODELS.createAppendEntriesRequestBuilder().setGroupId(GROUP).setSender(OTHER).setTerm(term)
                .setPreviousLogIndex(previousIndex).setPreviousLogTerm(previousTerm).setCommitIndex(0)
                .setLogEntries(Arrays.asList(entries)).setQuerySequenceNumber(0)
                .setFlowControlSequenceNumber(previousIndex + 100L * entries.length).build();
    }

    private static LogEntry entry(long index, int term) {
        return MODELS.createLogEntryBuilder().setIndex(index).setTerm(term).setOperation("t" + index).build();
    }

    /**
     * Seed 29: the leader lost its quorum and asked for pre-votes; a follower that still knew it as its leader counted
     * these requests as signs of life, stayed its follower for 9 s and asked for no votes itself.
     */
    @Test
    void aFormerLeaderThatAsksForVotesIsASilentLeader() {
        start();
        receive(append(TERM, 0, 0));
        receive(append(TERM, 0, 0));
        for (int i = 0; i < 50; i++) { // without MicroRaft's own time-out, which is what fails to come
            nowUs += SECOND_US / 10;
            replica.handle(MODELS.createPreVoteRequestBuilder().setGroupId(GROUP).setSender(OTHER).setTerm(TERM + 1)
                    .setLastLogTerm(0).setLastLogIndex(0).build(), nowUs);
        }
        assertThat(replica.isStuck(nowUs)).isTrue();
    }

    @Test
    void aLeaderThatAppendsIsNotSilent() {
        start();
        for (int i = 0; i < 50; i++) {
            receive(append(TERM, 0, 0));
            assertThat(replica.isStuck(nowUs)).isFalse();
            nowUs += SECOND_US / 10;
        }
    }

    /** Entries 1 to 3 are in a snapshot, 4 and 5 of term 1 are behind it, as after a restart. */
    private void startWithSnapshot() {
        writeSnapshot();
        start();
    }

    private static RaftGroupMembersView members(long logIndex, List<ReplicaId> all) {
        return MODELS.createRaftGroupMembersViewBuilder().setLogIndex(logIndex).setMembers(List.copyOf(all))
                .setVotingMembers(List.copyOf(all)).build();
    }

    private static SnapshotChunk snapshotChunk(RaftGroupMembersView members) {
        return MODELS.createSnapshotChunkBuilder().setIndex(3).setTerm(1).setOperation("new term")
                .setSnapshotChunkIndex(0).setSnapshotChunkCount(1).setGroupMembersView(members).build();
    }

    private void writeSnapshot() {
        disk.persistAndFlushLocalEndpoint(MODELS.createRaftEndpointPersistentStateBuilder().setLocalEndpoint(SELF)
                .setVoting(true).build());
        disk.persistAndFlushInitialGroupMembers(members(0, ALL));
        disk.persistAndFlushTerm(MODELS.createRaftTermPersistentStateBuilder().setTerm(1).setVotedFor(null).build());
        disk.persistLogEntries(List.of(entry(4, 1), entry(5, 1)));
        disk.persistSnapshotChunk(snapshotChunk(members(0, ALL)));
    }

    private long matchedAfter(AppendEntriesRequest append) {
        sent.clear();
        receive(append);
        assertThat(sent).noneMatch(AppendEntriesFailureResponse.class::isInstance);
        LongSupplier matched = () -> sent.stream().filter(AppendEntriesSuccessResponse.class::isInstance)
                .map(AppendEntriesSuccessResponse.class::cast).mapToLong(AppendEntriesSuccessResponse::getLastLogIndex)
                .max().orElse(-1);
        return matched.getAsLong();
    }

    /**
     * Seed 446: a leader and a follower repeated one append for 50 s, without end. The append began at the follower's
     * snapshot (entry 120), behind which the follower held entries. MicroRaft compares the previous entry with its log
     * only, does not find it and rejects; the leader, told by the snapshot's transfer that all up to 120 matches, does
     * not go back further.
     */
    @Test
    void anAppendThatBeginsAtTheSnapshotIsAppliedBehindIt() {
        startWithSnapshot();
        assertThat(matchedAfter(append(TERM, 3, 1, entry(4, 1), entry(5, 1), entry(6, TERM)))).isEqualTo(6);
    }

    @Test
    void anAppendThatBeginsBeforeTheSnapshotIsAppliedBehindIt() {
        startWithSnapshot();
        assertThat(matchedAfter(append(TERM, 1, 1, entry(2, 1), entry(3, 1), entry(4, 1), entry(5, TERM))))
                .isEqualTo(5);
        assertThat(disk.restored().getLogEntries()).extracting(LogEntry::getTerm).containsExactly(1, TERM);
    }

    @Test
    void anAppendWithoutEntriesMatchesUpToTheSnapshot() {
        startWithSnapshot();
        assertThat(matchedAfter(append(TERM, 3, 1))).isEqualTo(3);
        assertThat(matchedAfter(append(TERM, 2, 1))).isEqualTo(3);
        assertThat(matchedAfter(append(TERM, 1, 1, entry(2, 1)))).isEqualTo(3);
    }

    /** Seen as an assertion of MicroRaft's in {@code MembershipChangeTest}; without assertions it goes on. */
    @Test
    void anAppendThatBeginsBeforeTheCommitIndexIsAppliedBehindIt() {
        start();
        matchedAfter(append(TERM, 0, 0, entry(1, 1), entry(2, 1), entry(3, 1), entry(4, 1)));
        receive(MODELS.createAppendEntriesRequestBuilder().setGroupId(GROUP).setSender(OTHER).setTerm(TERM)
                .setPreviousLogIndex(4).setPreviousLogTerm(1).setCommitIndex(3).setLogEntries(List.of())
                .setQuerySequenceNumber(0).setFlowControlSequenceNumber(1000).build());
        assertThat(replica.machine().texts()).containsExactly("t1", "t2", "t3");
        assertThat(matchedAfter(append(TERM, 1, 1))).isEqualTo(3);
        assertThat(matchedAfter(append(TERM, 1, 1, entry(2, 1), entry(3, 1), entry(4, 2)))).isEqualTo(4);
        assertThat(disk.restored().getLogEntries()).extracting(LogEntry::getTerm).containsExactly(1, 1, 1, 2);
    }

    @Test
    void entriesDirectlyBehindTheSnapshotThatConflictAreToBeTruncated() {
        startWithSnapshot();
        receive(append(TERM, 3, 1, entry(4, 2)));
        assertThat(replica.conflictIndex()).isEqualTo(4);
    }

    @Test
    void anAppendOfAnEarlierTermDoesNotCount() {
        startWithSnapshot();
        receive(append(TERM, 0, 0));
        receive(append(TERM - 1, 3, 1, entry(4, 2)));
        assertThat(replica.conflictIndex()).isEqualTo(RaftReplica.NO_CONFLICT);
    }

    /**
     * Seed 569: a process that had lost its disk was admitted under a new
     * identity and killed right after. Its disk had it as a learner still, beside a snapshot in which it votes, and
     * MicroRaft's constructor ends with a NullPointerException there: the process could not start any more.
     */
    @Test
    void aLearnerWhoseSnapshotHasItAsAVoterStarts() {
        ReplicaId admitted = new ReplicaId(0, 99);
        disk.persistAndFlushLocalEndpoint(MODELS.createRaftEndpointPersistentStateBuilder().setLocalEndpoint(admitted)
                .setVoting(false).build());
        disk.persistAndFlushInitialGroupMembers(members(0, ALL));
        disk.persistSnapshotChunk(snapshotChunk(members(2, List.of(admitted, OTHER, ALL.get(2)))));
        start();
        assertThat(replica.self()).isEqualTo(admitted);
        assertThat(replica.isVoter(admitted)).isTrue();
    }
}
