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
 * One replica of a state machine: MicroRaft with the scheduler, transport, storage and randomness of a task. Not
 * thread-safe: the owner calls it on one thread, with the time of one clock in microseconds.
 *
 * @param <M> the state machine
 */
public final class RaftReplica<M extends ReplicatedStateMachine> implements Transport {

    /** The {@link #conflictIndex} if no entries conflict with the leader's. */
    public static final long NO_CONFLICT = 0;
    private static final RaftModelFactory MODELS = new DefaultRaftModelFactory();
    /** The time without a message from the leader after which a follower is considered stuck. */
    private static final long STUCK_US = 3_000_000;

    /** The dependencies that the owner provides to a replica; {@code send} must not block and may lose messages. */
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
     * Creates a replica; {@link #start} starts it.
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
     * Returns the configuration that all groups share. Its durations are in MicroRaft's time, which runs {@link
     * RaftScheduler#CLOCK_RATE} times as fast as real time: heartbeats every 0.1 s, a time-out of 0.5 s, a new leader
     * within a second.
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

    /** Stops the replica permanently; its state remains in its storage. */
    public void stop() {
        node.terminate();
    }

    /** Returns the identity of this replica. */
    public ReplicaId self() {
        return self;
    }

    /** Returns the local state machine, to which all entries known here to be committed have been applied. */
    public M machine() {
        return machine;
    }

    /** Handles a message from another replica. */
    public void handle(RaftMessage message, long nowUs) {
        if (isFromLeader(message)) {
            lastLeaderMessageUs = nowUs;
        }
        if (message instanceof PreVoteResponse response && isRejectedByHigherTerm(response)) {
            node.handle(asVoteRequest(response));
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

    /**
     * Returns true for an append or snapshot from the leader. Vote requests are excluded: a former leader that requests
     * votes is no longer active as the leader (docs/incidents/silent-leader.md).
     */
    private boolean isFromLeader(RaftMessage message) {
        return (message instanceof AppendEntriesRequest || message instanceof InstallSnapshotRequest)
                && message.getSender().equals(node.getTerm().getLeaderEndpoint());
    }

    /**
     * Returns true if a voter rejected a pre-vote because its own term is higher than the requested one, which is the
     * current term plus one. A response with the requested term does not reveal the voter's own term: MicroRaft copies
     * the term from the request when it rejects the candidate's log. Adopting it would raise the term at each pre-vote
     * and thereby depose each new leader within a heartbeat (docs/incidents/election-livelock.md).
     */
    private boolean isRejectedByHigherTerm(PreVoteResponse response) {
        return !response.isGranted() && response.getTerm() > node.getTerm().getTerm() + 1;
    }

    /**
     * Converts a pre-vote response to a vote request with the same term. MicroRaft 0.7 ignores the term of a pre-vote
     * response, so two voters, one with the longer log and the other with the higher term, would reject each other's
     * pre-votes forever (policy fleet in the emulator, seed 24). It adopts the term of a vote request; a replica with
     * entries does not vote for a candidate with an empty log.
     */
    private static RaftMessage asVoteRequest(RaftMessage response) {
        return MODELS.createVoteRequestBuilder().setGroupId(response.getGroupId())
                .setSender(response.getSender()).setTerm(response.getTerm()).setLastLogTerm(0).setLastLogIndex(0)
                .setSticky(false).build();
    }

    /**
     * Moves a follower's next index back after a failed append. MicroRaft moves it back by one for each failure, so the
     * search for the matching entry of a follower that lacks hundreds of entries would take as many round trips
     * (docs/incidents/slow-catch-up.md). This method passes one failure to MicroRaft for each step of the search; each
     * is valid, because a next index may always be lower than necessary.
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
     * Returns the index from which this replica's entries conflict with the leader's, directly after its snapshot, or
     * {@link #NO_CONFLICT}. MicroRaft cannot remove these entries; the owner must truncate the storage and restore the
     * replica.
     */
    public long conflictIndex() {
        return appends.conflictIndex();
    }

    /** Returns true if this replica believes that it is the leader. */
    public boolean isLeader() {
        return self.equals(node.getTerm().getLeaderEndpoint());
    }

    /** Returns the process of the leader as known to this replica, or -1. */
    public int leader() {
        return node.getTerm().getLeaderEndpoint() instanceof ReplicaId leader ? leader.node() : -1;
    }

    /**
     * Runs a linearizable read (Raft's ReadIndex) that starts after this call; {@code done} receives null if this
     * replica is not, or no longer, the leader.
     */
    public void query(Object operation, Consumer<Object> done) {
        CompletableFuture<Ordered<Object>> answer = node.query(operation, QueryPolicy.LINEARIZABLE, Optional.empty(),
                Optional.empty());
        answer.whenComplete((ordered, failure) -> done.accept(failure != null ? null : ordered.getResult()));
    }

    /**
     * Appends an operation to the log; {@code done} receives its result, or null if it is unknown whether it commits.
     */
    public void replicate(Object operation, Consumer<Object> done) {
        CompletableFuture<Ordered<Object>> answer = node.replicate(operation);
        answer.whenComplete((ordered, failure) -> done.accept(failure != null ? null : ordered.getResult()));
    }

    /**
     * Returns true if this replica follows a leader that has been silent for several election time-outs. MicroRaft 0.7
     * remains in this state forever when a pre-vote and a message from the leader cross (policy fleet in the emulator,
     * seed 30); a restart from the storage resolves it.
     */
    public boolean isStuck(long nowUs) {
        lastLeaderMessageUs =
                lastLeaderMessageUs == 0 || isLeader() || leader() < 0 ? nowUs : lastLeaderMessageUs;
        return nowUs - lastLeaderMessageUs > STUCK_US;
    }

    /** Returns true if this replica knows of any committed entry. */
    public boolean hasCommitted() {
        return wasRestored || machine.hasApplied();
    }

    /** Returns true if an identity is a voter in the committed membership. */
    public boolean isVoter(ReplicaId identity) {
        return node.getCommittedMembers().getVotingMembers().contains(identity);
    }

    /**
     * Performs the next step in the admission of a process's new identity, at the leader: removes the former identity,
     * then adds the new one as a learner, then promotes it to a voter.
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
                message instanceof AppendEntriesFailureResponse failure ? appends.responseFor(failure) : message);
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
        return true;
    }
}
