package clovermill.controlplane.consensus;

import io.microraft.MembershipChangeMode;
import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.model.impl.DefaultRaftModelFactory;
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

    /** A leader that has been silent for so long, while no other was elected, is not waited for. */
    private static final long STUCK_US = 3_000_000;

    /** What a replica needs of its owner. */
    public record Host(Object group, RaftConfig config, RaftStore store, RaftScheduler scheduler, Random random,
            BiConsumer<ReplicaId, RaftMessage> send) {}

    private final ReplicaId self;
    private final RaftNode node;
    private final M machine;
    private final BiConsumer<ReplicaId, RaftMessage> send;
    private final boolean hadStore;
    private long heardUs;

    /**
     * A replica that is yet to be started: one of a new group of {@code replicas}, or with what its store had.
     *
     * @param restored what the store had, or null
     */
    public RaftReplica(ReplicaId self, List<ReplicaId> replicas, RestoredRaftState restored, M machine, Host host) {
        this.self = self;
        this.send = host.send;
        this.hadStore = restored != null;
        this.machine = machine;
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder().setGroupId(host.group).setConfig(host.config)
                .setExecutor(host.scheduler).setClock(host.scheduler).setRandom(host.random).setTransport(this)
                .setStateMachine(machine).setStore(host.store);
        this.node = restored != null ? builder.setRestoredState(restored).build()
                : builder.setLocalEndpoint(self).setInitialGroupMembers(List.copyOf(replicas)).build();
    }

    /**
     * The configuration that all groups share, in MicroRaft's time, {@link RaftScheduler#PACE} times as fast as ours: a
     * heartbeat each 0.1 s, a new leader in a second.
     */
    public static RaftConfig.RaftConfigBuilder config() {
        return RaftConfig.newBuilder().setLeaderHeartbeatPeriodSecs(1).setLeaderHeartbeatTimeoutSecs(5)
                .setLeaderElectionTimeoutMillis(2000).setAppendEntriesRequestBatchSize(1)
                .setCommitCountToTakeSnapshot(5000).setMaxPendingLogEntryCount(5000)
                .setTransferSnapshotsFromFollowersEnabled(false).setRaftNodeReportPublishPeriodSecs(100);
    }

    /** Begins to take part. */
    public void start() {
        node.start();
    }

    /** Ends its part; what it keeps stays in its store. */
    public void stop() {
        node.terminate();
    }

    /** Its identity. */
    public ReplicaId self() {
        return self;
    }

    /** Its copy of the state machine, with what is known here to be agreed on. */
    public M machine() {
        return machine;
    }

    /** Takes a message of another replica. */
    public void handle(RaftMessage message, long nowUs) {
        if (message.getSender().equals(node.getTerm().getLeaderEndpoint())) {
            heardUs = nowUs;
        }
        boolean behind = message instanceof PreVoteResponse answer && !answer.isGranted()
                && message.getTerm() > node.getTerm().getTerm();
        node.handle(behind ? known(message) : message);
    }

    /**
     * MicroRaft 0.7 passes over the term of a pre-vote's answer: two voters of which one has the longer log and the
     * other the higher term refuse each other for ever (emulator, seed 24). A request for a vote tells the term in a
     * way that it heeds; with no log to show for it, it gets no vote from one that has any.
     */
    private static RaftMessage known(RaftMessage answer) {
        return new DefaultRaftModelFactory().createVoteRequestBuilder().setGroupId(answer.getGroupId())
                .setSender(answer.getSender()).setTerm(answer.getTerm()).setLastLogTerm(0).setLastLogIndex(0)
                .setSticky(false).build();
    }

    /** Whether it leads, as far as is known here. */
    public boolean leads() {
        return self.equals(node.getTerm().getLeaderEndpoint());
    }

    /** Which process leads, as far as is known here, or -1. */
    public int leader() {
        return node.getTerm().getLeaderEndpoint() instanceof ReplicaId leader ? leader.node() : -1;
    }

    /**
     * Asks the state machine at some moment after this call, in the order of all that is agreed on (Raft's ReadIndex);
     * gives null if that cannot be told, as this replica does not lead, or no longer.
     */
    public void query(Object operation, Consumer<Object> done) {
        CompletableFuture<Ordered<Object>> answer = node.query(operation, QueryPolicy.LINEARIZABLE, Optional.empty(),
                Optional.empty());
        answer.whenComplete((ordered, failure) -> done.accept(failure != null ? null : ordered.getResult()));
    }

    /** Puts an operation into the log; gives what came of it, or null where that is not known. */
    public void replicate(Object operation, Consumer<Object> done) {
        CompletableFuture<Ordered<Object>> answer = node.replicate(operation);
        answer.whenComplete((ordered, failure) -> done.accept(failure != null ? null : ordered.getResult()));
    }

    /**
     * Whether it follows a leader that has been silent for several times as long as a new one takes. MicroRaft 0.7 was
     * seen to stay so for good where a pre-vote and the leader's message crossed (emulator, seed 30); from its store it
     * begins anew.
     */
    public boolean stuck(long nowUs) {
        heardUs = heardUs == 0 || leads() || leader() < 0 ? nowUs : heardUs;
        return nowUs - heardUs > STUCK_US;
    }

    /** Whether anything was ever agreed on, as far as is known here. */
    public boolean committed() {
        return hadStore || machine.hasApplied();
    }

    /** Whether an identity is a voter's now. */
    public boolean votes(ReplicaId one) {
        return node.getCommittedMembers().getVotingMembers().contains(one);
    }

    /**
     * Brings a new identity of a process one step nearer to voting: removes its other identities, has it learn, has it
     * vote.
     */
    public void admit(ReplicaId one) {
        RaftGroupMembers members = node.getCommittedMembers();
        Collection<RaftEndpoint> all = members.getMembers();
        RaftEndpoint former = all.stream().filter(each -> !each.equals(one) && each instanceof ReplicaId other
                && other.node() == one.node()).findFirst().orElse(null);
        if (former != null) {
            node.changeMembership(former, MembershipChangeMode.REMOVE_MEMBER, members.getLogIndex());
        } else if (!all.contains(one)) {
            node.changeMembership(one, MembershipChangeMode.ADD_LEARNER, members.getLogIndex());
        } else if (!members.getVotingMembers().contains(one)) {
            node.changeMembership(one, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER, members.getLogIndex());
        }
    }

    @Override
    public void send(RaftEndpoint target, RaftMessage message) {
        send.accept((ReplicaId) target, message);
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
        return true;
    }
}
