package clovermill.accord;

import clovermill.accord.decide.Change;
import clovermill.accord.decide.Register;
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

/** A director's seat among the voters: MicroRaft on our agenda, with our letters, our store and our randomness. */
final class Voter implements Transport {

    static final Object GROUP = "policy";
    /**
     * In MicroRaft's time, {@link Agenda#PACE} times as fast as ours: a heartbeat each 0.1 s, a new leader in a second.
     */
    private static final RaftConfig CONFIG = RaftConfig.newBuilder().setLeaderHeartbeatPeriodSecs(1)
            .setLeaderHeartbeatTimeoutSecs(5).setLeaderElectionTimeoutMillis(2000).setAppendEntriesRequestBatchSize(1)
            .setCommitCountToTakeSnapshot(5000).setMaxPendingLogEntryCount(5000)
            .setTransferSnapshotsFromFollowersEnabled(false).setRaftNodeReportPublishPeriodSecs(100).build();

    private static final long STUCK_US = 3_000_000;

    private final Seat seat;
    private final RaftNode node;
    private final RegisterMachine machine;
    private final BiConsumer<Seat, RaftMessage> send;
    private final boolean hadStore;
    private long heardUs;

    /**
     * A voter that is yet to be started: one of a new group of {@code seats}, or with what its store had.
     *
     * @param restored what the store had, or null
     */
    Voter(Seat seat, List<Seat> seats, RestoredRaftState restored, RaftStore store, Agenda agenda, Random random,
            BiConsumer<Seat, RaftMessage> send, Consumer<Register> changed) {
        this.seat = seat;
        this.send = send;
        this.hadStore = restored != null;
        this.machine = new RegisterMachine(changed);
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder().setGroupId(GROUP).setConfig(CONFIG)
                .setExecutor(agenda).setClock(agenda).setRandom(random).setTransport(this).setStateMachine(machine)
                .setStore(store);
        this.node = restored != null ? builder.setRestoredState(restored).build()
                : builder.setLocalEndpoint(seat).setInitialGroupMembers(List.copyOf(seats)).build();
    }

    void start() {
        node.start();
    }

    void stop() {
        node.terminate();
    }

    Seat seat() {
        return seat;
    }

    Register register() {
        return machine.register();
    }

    void handle(RaftMessage message, long nowUs) {
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

    boolean leads() {
        return seat.equals(node.getTerm().getLeaderEndpoint());
    }

    /** Which director leads, as far as is known here, or -1. */
    int leader() {
        return node.getTerm().getLeaderEndpoint() instanceof Seat leader ? leader.director() : -1;
    }

    /** Gives the register as it is agreed at some moment after this call, or null if it cannot be told. */
    void read(Consumer<Register> done) {
        CompletableFuture<Ordered<Object>> answer = node.query(new RegisterMachine.Look(), QueryPolicy.LINEARIZABLE,
                Optional.empty(), Optional.empty());
        answer.whenComplete((ordered, failure) -> done.accept(failure != null ? null : (Register) ordered.getResult()));
    }

    /** Puts a change into the log; gives what came of it, or null where that is not known. */
    void put(Change change, Consumer<Object> done) {
        CompletableFuture<Ordered<Object>> answer = node.replicate(change);
        answer.whenComplete((ordered, failure) -> done.accept(failure != null ? null : ordered.getResult()));
    }

    /**
     * Whether it follows a leader that has been silent for several times as long as a new one takes. MicroRaft 0.7 was
     * seen to stay so for good where a pre-vote and the leader's message crossed (emulator, seed 30); from its store it
     * begins anew.
     */
    boolean stuck(long nowUs) {
        heardUs = heardUs == 0 || leads() || leader() < 0 ? nowUs : heardUs;
        return nowUs - heardUs > STUCK_US;
    }

    /** Whether anything was ever agreed on, as far as is known here. */
    boolean committed() {
        return hadStore || machine.began();
    }

    /** Whether a seat is a voter's now. */
    boolean seated(Seat one) {
        return node.getCommittedMembers().getVotingMembers().contains(one);
    }

    /**
     * Brings a new seat of a director one step nearer to voting: takes its other seats away, has it learn, has it vote.
     */
    void admit(Seat one) {
        RaftGroupMembers members = node.getCommittedMembers();
        Collection<RaftEndpoint> all = members.getMembers();
        RaftEndpoint former = all.stream().filter(each -> !each.equals(one) && each instanceof Seat other
                && other.director() == one.director()).findFirst().orElse(null);
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
        send.accept((Seat) target, message);
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
        return true;
    }
}
