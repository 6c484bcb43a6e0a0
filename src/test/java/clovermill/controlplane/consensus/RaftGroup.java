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
 * Processes with the library's real replicas of a {@link Journal}, on the emulated world: one seed, one order of
 * events. Tests start and kill processes, take their disks, and drop messages by their content.
 */
final class RaftGroup {

    static final long SECOND_US = 1_000_000;
    private static final long TICK_US = 10_000;
    private static final long JOIN_RETRY_US = 250_000;
    private static final int APPEND_BATCH_ENTRIES = 16;
    private static final String GROUP = "journal";

    /** What processes send to each other; each names its sender. */
    sealed interface Signal {
        /** The process that sent it. */
        int from();
    }

    record Envelope(int from, int to, long disk, RaftMessage message) implements Signal {}

    record JoinRequest(int from, long disk, boolean empty) implements Signal {}

    record JoinResponse(int from, long disk, boolean hasGroup, boolean isVoter) implements Signal {}

    private record Delivery(int to, JoinResponse response) {}

    private final World<Signal> world;
    private final int snapshotEvery;
    private final List<Integer> nodes;
    private final List<MemoryRaftStorage> disks = new ArrayList<>();
    private final List<RaftMember<Journal>> members = new ArrayList<>();
    /** All answers to join requests so far. */
    private final List<Delivery> joinResponses = new ArrayList<>();
    private Predicate<Envelope> dropped = envelope -> false;
    private Consumer<Envelope> sent = envelope -> {};

    /** So many processes, all down, with empty disks. */
    RaftGroup(int processes, int snapshotEvery, long seed) {
        this.world = new World<>(processes, 0, seed);
        this.snapshotEvery = snapshotEvery;
        this.nodes = IntStream.range(0, processes).boxed().toList();
        for (int i = 0; i < processes; i++) {
            disks.add(new MemoryRaftStorage());
            members.add(null);
        }
    }

    /** A group of processes that have elected a leader. */
    static RaftGroup started(int processes, int snapshotEvery, long seed) {
        RaftGroup group = new RaftGroup(processes, snapshotEvery, seed);
        group.nodes.forEach(group::start);
        group.runFor(5 * SECOND_US);
        return group;
    }

    /** Starts a process that is down, from its disk. */
    void start(int node) {
        Random random = new Random(world.random().nextLong());
        world.machine(node).start(clock -> new Process(node, random, clock));
    }

    /** Kills a process; its disk holds all that it wrote. */
    void kill(int node) {
        world.machine(node).kill();
    }

    /** A process that is down loses its disk. */
    void loseDisk(int node) {
        disks.set(node, new MemoryRaftStorage());
    }

    /** The disk of a process. */
    MemoryRaftStorage disk(int node) {
        return disks.get(node);
    }

    /** The member of a process, as it runs or ran last. */
    RaftMember<Journal> member(int node) {
        return members.get(node);
    }

    /** Whether a process runs. */
    boolean up(int node) {
        return world.machine(node).up();
    }

    /** The processes that believe that they lead. */
    List<Integer> leaders() {
        return nodes.stream().filter(each -> up(each) && members.get(each).leads()).toList();
    }

    /** The only leader. */
    int leader() {
        List<Integer> leaders = leaders();
        if (leaders.size() != 1) {
            throw new AssertionError("leaders: " + leaders);
        }
        return leaders.get(0);
    }

    /** The texts that a process holds as committed. */
    List<String> texts(int node) {
        return members.get(node).replica() == null ? List.of() : members.get(node).replica().machine().texts();
    }

    /** A process, its leader and whether it votes, for the message of a failed assertion. */
    String describe(int node) {
        RaftMember<Journal> member = members.get(node);
        return node + " follows " + (member.replica() == null ? "none" : member.replica().leader()) + " votes "
                + member.votes() + " " + disks.get(node).restored();
    }

    /** Appends a text at a process; {@code done} gets the log index, or null if its fate is unknown. */
    void append(int node, String text, Consumer<Object> done) {
        world.at(world.nowUs(), () -> members.get(node).replica().replicate(text, done));
    }

    /** Appends so many texts at a process, some milliseconds apart, and waits until all are replicated. */
    void appendMany(int node, int count) {
        for (int i = 0; i < count; i++) {
            append(node, "t" + i, result -> {});
            runFor(SECOND_US / 200);
        }
        runFor(SECOND_US);
    }

    /** Drops Raft's messages that match, until called anew. */
    void drop(Predicate<Envelope> matching) {
        dropped = matching;
    }

    /** Has each of Raft's messages seen as it is sent, dropped or not. */
    void observe(Consumer<Envelope> observer) {
        sent = observer;
    }

    /** Delivers all answers to a process's join requests once more, the latest first, cut off or not. */
    void repeatJoinResponses(int to) {
        for (int i = joinResponses.size() - 1; i >= 0; i--) {
            if (joinResponses.get(i).to() == to) {
                world.machine(to).hand(joinResponses.get(i).response());
            }
        }
    }

    /** Cuts or restores both ways between two sets of processes. */
    void cut(List<Integer> one, List<Integer> other, boolean off) {
        for (int a : one) {
            for (int b : other) {
                world.cut(a, b, off);
                world.cut(b, a, off);
            }
        }
    }

    /** The part of messages that are lost, and their longest way. */
    void links(double loss, long maxDelayUs) {
        world.links(loss, maxDelayUs);
    }

    /** Does something at a later time. */
    void after(long micros, Runnable action) {
        world.at(world.nowUs() + micros, action);
    }

    /** Lets time pass. */
    void runFor(long micros) {
        world.run(world.nowUs() + micros);
    }

    /** Lets time pass until something holds, for so long at most; returns how long it took. */
    long runUntil(Predicate<RaftGroup> condition, long maxUs) {
        long from = world.nowUs();
        while (!condition.test(this) && world.nowUs() - from < maxUs) {
            runFor(TICK_US);
        }
        return world.nowUs() - from;
    }

    private final class Process implements Task<Signal> {
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
                    host, Journal::new, replica -> {}, new JoinMessages());
            members.set(node, member);
            member.restore();
        }

        private void sendRaft(ReplicaId to, RaftMessage message) {
            Envelope envelope = new Envelope(node, to.node(), to.disk(), message);
            sent.accept(envelope);
            if (!dropped.test(envelope)) {
                world.send(node, to.node(), envelope);
            }
        }

        private final class JoinMessages implements RaftMember.JoinTransport {
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
        public void on(Signal signal, long nowUs) {
            scheduler.run(nowUs);
            if (signal instanceof JoinRequest request) {
                member.onJoin(request.from(), request.disk(), request.empty());
            } else if (signal instanceof JoinResponse response) {
                member.onJoined(response.from(), response.disk(), response.hasGroup(), response.isVoter());
            } else if (signal instanceof Envelope envelope && member.replica() != null
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
