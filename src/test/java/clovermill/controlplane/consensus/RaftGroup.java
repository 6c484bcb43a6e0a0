package clovermill.controlplane.consensus;

import clovermill.runtime.task.Task;
import clovermill.simulation.emulator.world.World;
import io.microraft.model.message.RaftMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/**
 * Emulated processes that run real MicroRaft replicas of a {@link Journal}. A seed determines the order of events.
 * Tests can start and kill processes, remove their disks, and drop messages by their content.
 */
final class RaftGroup {

    static final long SECOND_US = 1_000_000;
    private static final long TICK_US = 10_000;
    private static final long JOIN_RETRY_US = 250_000;
    private static final int APPEND_BATCH_ENTRIES = 16;
    private static final String GROUP = "journal";

    /** A message between processes. */
    sealed interface ProcessMessage {
        /** Returns the process that sent it. */
        int from();
    }

    record Envelope(int from, int to, long disk, RaftMessage message) implements ProcessMessage {}

    record JoinRequest(int from, long disk, boolean empty) implements ProcessMessage {}

    record JoinResponse(int from, long disk, boolean hasGroup, boolean isVoter) implements ProcessMessage {}

    private record Delivery(int to, JoinResponse response) {}

    private final World<ProcessMessage> world;
    private final int snapshotEvery;
    private final List<Integer> nodes;
    private final List<MemoryRaftStorage> disks = new ArrayList<>();
    private final List<RaftMember<Journal>> members = new ArrayList<>();
    /** All join responses sent so far. */
    private final List<Delivery> joinResponses = new ArrayList<>();
    private Predicate<Envelope> dropFilter = envelope -> false;
    private Consumer<Envelope> sendObserver = envelope -> {};

    /** Creates a group of processes that are all down and have empty disks. */
    RaftGroup(int processes, int snapshotEvery, long seed) {
        this.world = new World<>(processes, 0, seed);
        this.snapshotEvery = snapshotEvery;
        this.nodes = IntStream.range(0, processes).boxed().toList();
        for (int i = 0; i < processes; i++) {
            disks.add(new MemoryRaftStorage());
            members.add(null);
        }
    }

    /** Creates a group of running processes that have elected a leader. */
    static RaftGroup started(int processes, int snapshotEvery, long seed) {
        RaftGroup group = new RaftGroup(processes, snapshotEvery, seed);
        group.nodes.forEach(group::start);
        group.runFor(5 * SECOND_US);
        return group;
    }

    /** Starts a process that is down; it restores its state from its disk. */
    void start(int node) {
        Random random = new Random(world.random().nextLong());
        world.machine(node).start(clock -> new Process(node, random, clock));
    }

    /** Kills a process; its disk retains all that it wrote. */
    void kill(int node) {
        world.machine(node).kill();
    }

    /** Replaces the disk of a process that is down by an empty one. */
    void loseDisk(int node) {
        disks.set(node, new MemoryRaftStorage());
    }

    /** Returns the disk of a process. */
    MemoryRaftStorage disk(int node) {
        return disks.get(node);
    }

    /** Returns the member of the current or last run of a process. */
    RaftMember<Journal> member(int node) {
        return members.get(node);
    }

    /** Returns true if a process is running. */
    boolean isUp(int node) {
        return world.machine(node).up();
    }

    /** Returns the processes that believe that they are the leader. */
    List<Integer> leaders() {
        return nodes.stream().filter(each -> isUp(each) && members.get(each).isLeader()).toList();
    }

    /** Returns the leader; fails unless there is exactly one. */
    int leader() {
        List<Integer> leaders = leaders();
        if (leaders.size() != 1) {
            throw new AssertionError("leaders: " + leaders);
        }
        return leaders.get(0);
    }

    /** Returns the texts that are committed according to a process. */
    List<String> texts(int node) {
        return members.get(node).replica() == null ? List.of() : members.get(node).replica().machine().texts();
    }

    /** Describes the state of a process for the message of a failed assertion. */
    String describe(int node) {
        RaftMember<Journal> member = members.get(node);
        return node + " follows " + (member.replica() == null ? "none" : member.replica().leader()) + " votes "
                + member.isVoter() + " " + disks.get(node).restored();
    }

    /**
     * Appends a text at a process; {@code done} receives the log index, or null if it is unknown whether it commits.
     */
    void append(int node, String text, Consumer<Object> done) {
        world.at(world.nowUs(), () -> members.get(node).replica().replicate(text, done));
    }

    /** Appends {@code count} texts at a process, 5 ms apart, and waits until all are replicated. */
    void appendMany(int node, int count) {
        for (int i = 0; i < count; i++) {
            append(node, "t" + i, result -> {});
            runFor(SECOND_US / 200);
        }
        runFor(SECOND_US);
    }

    /** Drops the Raft messages that match; replaces the previous predicate. */
    void drop(Predicate<Envelope> matching) {
        dropFilter = matching;
    }

    /** Calls an observer with each Raft message that is sent, including dropped ones. */
    void observe(Consumer<Envelope> observer) {
        sendObserver = observer;
    }

    /** Delivers all previous join responses to a process again, latest first, even if the process is partitioned. */
    void repeatJoinResponses(int to) {
        for (int i = joinResponses.size() - 1; i >= 0; i--) {
            if (joinResponses.get(i).to() == to) {
                world.machine(to).deliver(joinResponses.get(i).response());
            }
        }
    }

    /** Cuts or restores the links between two sets of processes in both directions. */
    void cut(List<Integer> one, List<Integer> other, boolean off) {
        for (int a : one) {
            for (int b : other) {
                world.cut(a, b, off);
                world.cut(b, a, off);
            }
        }
    }

    /** Sets the fraction of messages that are lost and the maximum delay of the others. */
    void links(double loss, long maxDelayUs) {
        world.links(loss, maxDelayUs);
    }

    /** Runs an action after a delay. */
    void after(long delayUs, Runnable action) {
        world.at(world.nowUs() + delayUs, action);
    }

    /** Advances emulated time. */
    void runFor(long durationUs) {
        world.run(world.nowUs() + durationUs);
    }

    /** Advances emulated time until a condition is true, by {@code maxUs} at most; returns the elapsed time. */
    long runUntil(Predicate<RaftGroup> condition, long maxUs) {
        long startUs = world.nowUs();
        while (!condition.test(this) && world.nowUs() - startUs < maxUs) {
            runFor(TICK_US);
        }
        return world.nowUs() - startUs;
    }

    private final class Process implements Task<ProcessMessage> {
        private final int node;
        private final RaftScheduler scheduler;
        private final RaftMember<Journal> member;

        private Process(int node, Random random, long clock) {
            this.node = node;
            this.scheduler = new RaftScheduler(clock);
            RaftReplica.Host host = new RaftReplica.Host(GROUP,
                    RaftReplica.config().setAppendEntriesRequestBatchSize(APPEND_BATCH_ENTRIES)
                            .setCommitCountToTakeSnapshot(snapshotEvery).build(),
                    disks.get(node),
                    scheduler, random, this::sendRaft);
            this.member = new RaftMember<>(new RaftMember.Membership(node, nodes, JOIN_RETRY_US), disks.get(node),
                    host, Journal::new, replica -> {}, new JoinMessageTransport());
            members.set(node, member);
            member.restore();
        }

        private void sendRaft(ReplicaId to, RaftMessage message) {
            Envelope envelope = new Envelope(node, to.node(), to.disk(), message);
            sendObserver.accept(envelope);
            if (!dropFilter.test(envelope)) {
                world.send(node, to.node(), envelope);
            }
        }

        private final class JoinMessageTransport implements RaftMember.JoinTransport {
            @Override
            public void sendJoinRequest(int to, long disk, boolean empty) {
                world.send(node, to, new JoinRequest(node, disk, empty));
            }

            @Override
            public void sendJoinResponse(int to, long disk, boolean hasGroup, boolean isVoter) {
                JoinResponse response = new JoinResponse(node, disk, hasGroup, isVoter);
                joinResponses.add(new Delivery(to, response));
                world.send(node, to, response);
            }
        }

        @Override
        public void on(ProcessMessage message, long nowUs) {
            scheduler.run(nowUs);
            if (message instanceof JoinRequest request) {
                member.onJoinRequest(request.from(), request.disk(), request.empty());
            } else if (message instanceof JoinResponse response) {
                member.onJoinResponse(response.from(), response.disk(), response.hasGroup(), response.isVoter());
            } else if (message instanceof Envelope envelope && member.replica() != null
                    && envelope.disk() == member.replica().self().disk()) {
                member.replica().handle(envelope.message(), nowUs);
            }
            scheduler.run(nowUs);
        }

        @Override
        public long tick(long nowUs) {
            scheduler.run(nowUs);
            member.restartIfStuck(nowUs);
            long next = Math.min(member.join(nowUs), scheduler.run(nowUs));
            return Math.min(next, nowUs + TICK_US);
        }
    }
}
