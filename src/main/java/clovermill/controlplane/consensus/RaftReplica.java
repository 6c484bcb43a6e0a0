package clovermill.controlplane.consensus;

import io.microraft.MembershipChangeMode;
import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.report.RaftGroupMembers;
import io.microraft.transport.Transport;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * One replica of a state machine: MicroRaft on a task's scheduler, transport, storage and randomness. Not thread-safe:
 * its owner calls it on one thread, with the time of one clock in microseconds.
 *
 * @param <M> the state machine
 */
public final class RaftReplica<M extends ReplicatedStateMachine> implements Transport {

    /** No entries conflict with the leader's. */
    public static final long NO_CONFLICT = 0;
    private static final RaftModelFactory MODELS = new DefaultRaftModelFactory();
    /** A replica that follows a leader without a message for so long is stuck. */
    private static final long STUCK_US = 3_000_000;

    /** What a replica needs from its owner; {@code send} must not block, and may lose a message. */
    public record Host(Object group, RaftConfig config, RaftStore store, RaftScheduler scheduler, Random random,
            BiConsumer<ReplicaId, RaftMessage> send) {}

    private final ReplicaId self;
    private final RaftNode node;
    private final M machine;
    private final BiConsumer<ReplicaId, RaftMessage> send;
    private final boolean wasRestored;
    private final NextIndexSearch nextIndexSearch = new NextIndexSearch();
    private final AppendReceiver appends;
    private long lastLeaderMessageUs;

    /**
     * A replica that is yet to be started.
     *
     * @param replicas the initial members; ignored for a restored replica
     * @param restored the state from the storage, or null for a replica of a new group
     */
    public RaftReplica(ReplicaId self, List<ReplicaId> replicas, RestoredRaftState restored, M machine, Host host) {
        this.self = self;
        this.send = host.send;
        this.wasRestored = restored != null;
        this.machine = machine;
        LogTerms log = new LogTerms(host.store, restored);
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder().setGroupId(host.group).setConfig(host.config)
                .setExecutor(host.scheduler).setClock(host.scheduler).setRandom(host.random).setTransport(this)
                .setStateMachine(machine).setStore(log);
        this.node = restored != null ? builder.setRestoredState(restored).build()
                : builder.setLocalEndpoint(self).setInitialGroupMembers(List.copyOf(replicas)).build();
        this.appends = new AppendReceiver(node, log);
    }

    /**
     * The configuration that all groups share. Its spans are in MicroRaft's time, which runs {@link RaftScheduler#PACE}
     * times as fast as ours: heartbeats every 0.1 s, time-out 0.5 s, a new leader within a second.
     */
    public static RaftConfig.RaftConfigBuilder config() {
        return RaftConfig.newBuilder().setLeaderHeartbeatPeriodSecs(1).setLeaderHeartbeatTimeoutSecs(5)
                .setLeaderElectionTimeoutMillis(2000).setAppendEntriesRequestBatchSize(1)
                .setCommitCountToTakeSnapshot(5000).setMaxPendingLogEntryCount(5000)
                .setTransferSnapshotsFromFollowersEnabled(false).setRaftNodeReportPublishPeriodSecs(100);
    }

    /** Starts the replica. */
    public void start() {
        node.start();
    }

    /** Stops the replica for good; its state stays in its storage. */
    public void stop() {
        node.terminate();
    }

    /** Its identity. */
    public ReplicaId self() {
        return self;
    }

    /** The local copy of the state machine, up to the last entry known to be committed here. */
    public M machine() {
        return machine;
    }

    /** Handles a message of another replica. */
    public void handle(RaftMessage message, long nowUs) {
        if (isFromLeader(message)) {
            lastLeaderMessageUs = nowUs;
        }
        if (message instanceof PreVoteResponse answer && isRejectedByHigherTerm(answer)) {
            node.handle(asVoteRequest(answer));
        } else if (message instanceof AppendEntriesFailureResponse failure) {
            stepBack(failure);
        } else if (message instanceof AppendEntriesRequest append && append.getTerm() >= node.getTerm().getTerm()) {
            appends.receive(append);
        } else {
            if (message instanceof AppendEntriesSuccessResponse) {
                nextIndexSearch.matched(message.getSender());
            }
            node.handle(message);
        }
    }

    /** A former leader that asks for votes is no leader that lives (docs/incidents/silent-leader.md). */
    private boolean isFromLeader(RaftMessage message) {
        return (message instanceof AppendEntriesRequest || message instanceof InstallSnapshotRequest)
                && message.getSender().equals(node.getTerm().getLeaderEndpoint());
    }

    /**
     * Whether a voter has a higher term than the one that its pre-vote was asked for, which is the present term plus
     * one. A response with just that term tells nothing of the voter's own: MicroRaft repeats the term of the request
     * where it rejects the candidate's log. Adopting it would raise the term at each pre-vote, and so depose each new
     * leader within a heartbeat (docs/incidents/election-livelock.md).
     */
    private boolean isRejectedByHigherTerm(PreVoteResponse answer) {
        return !answer.isGranted() && answer.getTerm() > node.getTerm().getTerm() + 1;
    }

    /**
     * MicroRaft 0.7 ignores the term of a pre-vote response: two voters, one with the longer log and the other with the
     * higher term, reject each other's pre-votes for ever (policy fleet in the emulator, seed 24). It does adopt the
     * term of a vote request; one with an empty log gets no vote from a replica that has entries.
     */
    private static RaftMessage asVoteRequest(RaftMessage answer) {
        return MODELS.createVoteRequestBuilder().setGroupId(answer.getGroupId())
                .setSender(answer.getSender()).setTerm(answer.getTerm()).setLastLogTerm(0).setLastLogIndex(0)
                .setSticky(false).build();
    }

    /**
     * MicroRaft moves a follower's next index back by one for each failed append, so that a follower that lacks
     * hundreds of entries is found after as many round trips (docs/incidents/slow-catch-up.md). It is given as many
     * failures as the search steps back; each is valid, as a next index may always be lower than needed.
     */
    private void stepBack(AppendEntriesFailureResponse failure) {
        long steps = nextIndexSearch.stepsBack(failure.getSender(), failure.getTerm(), failure.getExpectedNextIndex());
        for (long step = 0; step < steps; step++) {
            node.handle(MODELS.createAppendEntriesFailureResponseBuilder().setGroupId(failure.getGroupId())
                    .setSender(failure.getSender()).setTerm(failure.getTerm())
                    .setExpectedNextIndex(failure.getExpectedNextIndex() - step)
                    .setQuerySequenceNumber(failure.getQuerySequenceNumber())
                    .setFlowControlSequenceNumber(failure.getFlowControlSequenceNumber()).build());
        }
    }

    /**
     * The index from which this replica's entries conflict with the leader's, directly behind its snapshot, or {@link
     * #NO_CONFLICT}. MicroRaft cannot remove them there: the owner truncates the storage and restores the replica.
     */
    public long conflictIndex() {
        return appends.conflictIndex();
    }

    /** Whether this replica is the leader, as far as it knows. */
    public boolean leads() {
        return self.equals(node.getTerm().getLeaderEndpoint());
    }

    /** The process of the leader, as far as is known here, or -1. */
    public int leader() {
        return node.getTerm().getLeaderEndpoint() instanceof ReplicaId leader ? leader.node() : -1;
    }

    /**
     * Runs a linearizable read (Raft's ReadIndex) that begins after this call; {@code done} gets null if this replica
     * is not, or no longer, the leader.
     */
    public void query(Object operation, Consumer<Object> done) {
        CompletableFuture<Ordered<Object>> answer = node.query(operation, QueryPolicy.LINEARIZABLE, Optional.empty(),
                Optional.empty());
        answer.whenComplete((ordered, failure) -> done.accept(failure != null ? null : ordered.getResult()));
    }

    /** Appends an operation to the log; {@code done} gets its result, or null if its fate is unknown. */
    public void replicate(Object operation, Consumer<Object> done) {
        CompletableFuture<Ordered<Object>> answer = node.replicate(operation);
        answer.whenComplete((ordered, failure) -> done.accept(failure != null ? null : ordered.getResult()));
    }

    /**
     * Whether it follows a leader that has been silent for several times the election time. MicroRaft 0.7 stays so for
     * ever where a pre-vote and the leader's message cross (policy fleet in the emulator, seed 30); a restart from the
     * storage ends it.
     */
    public boolean isStuck(long nowUs) {
        lastLeaderMessageUs =
                lastLeaderMessageUs == 0 || leads() || leader() < 0 ? nowUs : lastLeaderMessageUs;
        return nowUs - lastLeaderMessageUs > STUCK_US;
    }

    /** Whether anything was ever committed, as far as is known here. */
    public boolean hasCommitted() {
        return wasRestored || machine.hasApplied();
    }

    /** Whether an identity is a voter of the committed membership. */
    public boolean isVoter(ReplicaId identity) {
        return node.getCommittedMembers().getVotingMembers().contains(identity);
    }

    /**
     * Takes the next step in the admission of a process's new identity, at the leader: removes the former identity,
     * adds the new one as a learner, promotes it to a voter.
     */
    public void admit(ReplicaId identity) {
        RaftGroupMembers members = node.getCommittedMembers();
        Collection<RaftEndpoint> all = members.getMembers();
        RaftEndpoint former = all.stream().filter(each -> !each.equals(identity) && each instanceof ReplicaId other
                && other.node() == identity.node()).findFirst().orElse(null);
        if (former != null) {
            node.changeMembership(former, MembershipChangeMode.REMOVE_MEMBER, members.getLogIndex());
        } else if (!all.contains(identity)) {
            node.changeMembership(identity, MembershipChangeMode.ADD_LEARNER, members.getLogIndex());
        } else if (!members.getVotingMembers().contains(identity)) {
            node.changeMembership(identity, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER, members.getLogIndex());
        }
    }

    @Override
    public void send(RaftEndpoint target, RaftMessage message) {
        send.accept((ReplicaId) target,
                message instanceof AppendEntriesFailureResponse failure ? appends.answer(failure) : message);
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
        return true;
    }
}
