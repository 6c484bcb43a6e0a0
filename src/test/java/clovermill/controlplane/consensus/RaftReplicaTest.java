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

/** Tests one replica of three with synthetic messages. */
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

    private void runFor(long durationUs) {
        long untilUs = nowUs + durationUs;
        while (nowUs < untilUs) {
            nowUs += STEP_US;
            scheduler.run(nowUs);
        }
    }

    private void receive(RaftMessage message) {
        replica.handle(message, nowUs);
        scheduler.run(nowUs);
    }

    /** Waits for the next message of a type that the replica sends. */
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
        throw new AssertionError(kind.getSimpleName() + " not sent");
    }

    private static PreVoteResponse rejection(int term) {
        return MODELS.createPreVoteResponseBuilder().setGroupId(GROUP).setSender(OTHER).setTerm(term).setGranted(false)
                .build();
    }

    /**
     * Seed 26 of the event log's fleet: for 13 s three voters with working links elected a leader ten times a second
     * and deposed it again, so that no purge was committed. A voter with a shorter log requested pre-votes in its term
     * plus one. The rejections repeated that term, and the replica adopted it as if the other voters had a higher term.
     * Its term rose by one for each rejection (370 of 970 in the trace), and its next request deposed the current
     * leader.
     */
    @Test
    void preVoteRejectedBecauseOfTheLogDoesNotRaiseTheTerm() {
        start();
        PreVoteRequest first = next(PreVoteRequest.class);
        receive(rejection(first.getTerm()));
        assertThat(next(PreVoteRequest.class).getTerm()).isEqualTo(first.getTerm());
    }

    /** Without adopting the voters' higher term the replica's pre-votes would be rejected forever. */
    @Test
    void adoptsTheHigherTermOfAPreVoteRejection() {
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
     * Seed 29: the leader lost its quorum and requested pre-votes. A follower that still had it as its leader counted
     * these requests as messages from a leader, remained its follower for 9 s and requested no votes itself.
     */
    @Test
    void voteRequestsOfAFormerLeaderDoNotCountAsLeaderMessages() {
        start();
        receive(append(TERM, 0, 0));
        receive(append(TERM, 0, 0));
        for (int i = 0; i < 50; i++) { // MicroRaft's own time-out does not run, as in the fault
            nowUs += SECOND_US / 10;
            replica.handle(MODELS.createPreVoteRequestBuilder().setGroupId(GROUP).setSender(OTHER).setTerm(TERM + 1)
                    .setLastLogTerm(0).setLastLogIndex(0).build(), nowUs);
        }
        assertThat(replica.isStuck(nowUs)).isTrue();
    }

    @Test
    void isNotStuckWhileTheLeaderAppends() {
        start();
        for (int i = 0; i < 50; i++) {
            receive(append(TERM, 0, 0));
            assertThat(replica.isStuck(nowUs)).isFalse();
            nowUs += SECOND_US / 10;
        }
    }

    /** Restores a replica with entries 1 to 3 in a snapshot, followed by entries 4 and 5 of term 1. */
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
     * Seed 446: a leader repeated one append, and the follower rejected it, for 50 s without progress. The
     * append started at the follower's snapshot (entry 120), which was followed by further entries. MicroRaft looks up
     * the previous entry in its log only, does not find it and rejects the append; the leader does not go back further,
     * because the transfer of the snapshot confirmed that all entries up to 120 match.
     */
    @Test
    void appliesAnAppendThatStartsAtTheSnapshot() {
        startWithSnapshot();
        assertThat(matchedAfter(append(TERM, 3, 1, entry(4, 1), entry(5, 1), entry(6, TERM)))).isEqualTo(6);
    }

    @Test
    void appliesAnAppendThatStartsBeforeTheSnapshot() {
        startWithSnapshot();
        assertThat(matchedAfter(append(TERM, 1, 1, entry(2, 1), entry(3, 1), entry(4, 1), entry(5, TERM))))
                .isEqualTo(5);
        assertThat(disk.restored().getLogEntries()).extracting(LogEntry::getTerm).containsExactly(1, TERM);
    }

    @Test
    void appendWithoutEntriesMatchesUpToTheSnapshot() {
        startWithSnapshot();
        assertThat(matchedAfter(append(TERM, 3, 1))).isEqualTo(3);
        assertThat(matchedAfter(append(TERM, 2, 1))).isEqualTo(3);
        assertThat(matchedAfter(append(TERM, 1, 1, entry(2, 1)))).isEqualTo(3);
    }

    /** MicroRaft fails an assertion in this case, as in {@code MembershipChangeTest}, if assertions are enabled. */
    @Test
    void appliesAnAppendThatStartsBeforeTheCommitIndex() {
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
    void reportsConflictingEntriesDirectlyAfterTheSnapshot() {
        startWithSnapshot();
        receive(append(TERM, 3, 1, entry(4, 2)));
        assertThat(replica.conflictIndex()).isEqualTo(4);
    }

    @Test
    void ignoresAnAppendOfAnEarlierTerm() {
        startWithSnapshot();
        receive(append(TERM, 0, 0));
        receive(append(TERM - 1, 3, 1, entry(4, 2)));
        assertThat(replica.conflictIndex()).isEqualTo(RaftReplica.NO_CONFLICT);
    }

    /**
     * Seed 569: a process that had lost its disk was admitted with a new identity and killed immediately afterwards.
     * Its disk still recorded it as a learner, with a snapshot that contained it as a voter. MicroRaft's constructor
     * throws a NullPointerException for this combination, so the process could not start.
     */
    @Test
    void startsALearnerWhoseSnapshotContainsItAsAVoter() {
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
