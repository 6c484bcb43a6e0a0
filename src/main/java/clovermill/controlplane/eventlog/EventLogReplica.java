package clovermill.controlplane.eventlog;

import clovermill.controlplane.consensus.RaftMember;
import clovermill.controlplane.consensus.RaftReplica;
import clovermill.controlplane.consensus.RaftScheduler;
import clovermill.controlplane.consensus.RaftStorage;
import clovermill.controlplane.eventlog.decide.EventLog;
import clovermill.controlplane.eventlog.decide.EventLogMessage;
import clovermill.controlplane.eventlog.decide.ReplicaFeed;
import io.microraft.RaftConfig;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.function.Function;

/**
 * The replica role: a Raft member that appends for clients while it is the leader, periodically proves the freshness of
 * its log by a read at the leader (ReadIndex; Ongaro, "Consensus: Bridging Theory and Practice", 6.4), and feeds the
 * directors that follow it. Times are microseconds. Not thread-safe.
 */
final class EventLogReplica implements EventLogRole {

    /** The maximum number of Raft entries in one message, which must fit a UDP datagram; most contain one event. */
    private static final int APPEND_BATCH_ENTRIES = 16;

    /** Entries committed during one round trip between replicas: 100 per second, with a round trip of 0.1 s. */
    private static final int ENTRIES_PER_ROUND_TRIP = 10;

    private final EventLogTask.Membership membership;
    private final EventLogTask.ReplicaLimits limits;
    private final RaftStorage storage;
    private final RaftScheduler scheduler;
    private final RaftMember<EventLogStateMachine> member;
    private final Link link;
    /** Packets that this replica sent to itself; handled before the current call returns. */
    private final Deque<Packet> loopback = new ArrayDeque<>();
    /** The feed of the directors; null until the replica belongs to a group. */
    private ReplicaFeed feed;
    private final HeadReads headReads = new HeadReads(this::sendMessage);
    private long proofRound;
    private long proofRoundStartUs;
    private long nextProofRoundUs;
    private long nowUs;

    EventLogReplica(EventLogTask.Membership membership, EventLogTask.ReplicaLimits limits, RaftStorage storage,
            Random random, Link link, long nowUs) {
        this.membership = membership;
        this.limits = limits;
        this.storage = storage;
        this.link = link;
        this.nowUs = nowUs;
        this.scheduler = new RaftScheduler(nowUs);
        RaftConfig config = RaftReplica.config().setAppendEntriesRequestBatchSize(APPEND_BATCH_ENTRIES)
                .setCommitCountToTakeSnapshot(snapshotInterval(membership, limits)).build();
        RaftReplica.Host host = new RaftReplica.Host(EventOperationCodec.GROUP, config, storage, scheduler, random,
                (to, message) -> send(to.node(), new Packet.RaftPacket(to.disk(), message)));
        RaftMember.Membership members =
                new RaftMember.Membership(membership.self(), membership.replicas(),
                        membership.timing().proofIntervalUs());
        this.member = new RaftMember<>(members, storage, host,
                () -> new EventLogStateMachine(limits.log(), () -> random.nextLong() | 1), this::replicaStarted,
                new JoinOutbox());
        member.restore();
    }

    /**
     * Returns the number of Raft entries between two snapshots: at least as many as are committed while a snapshot is
     * transferred, at one chunk per round trip. A transfer restarts with each newer snapshot, so with fewer entries it
     * would never complete (docs/incidents/snapshot-chase.md).
     */
    private static int snapshotInterval(EventLogTask.Membership membership, EventLogTask.ReplicaLimits limits) {
        return Math.max(limits.snapshotEvery(),
                ENTRIES_PER_ROUND_TRIP * EventLogStateMachine.maxChunks(limits.log(), membership.members()));
    }

    private final class JoinOutbox implements RaftMember.JoinTransport {
        @Override
        public void sendJoinRequest(int to, long disk, boolean empty) {
            send(to, new Packet.JoinRequest(disk, empty));
        }

        @Override
        public void sendJoinResponse(int to, long disk, boolean group, boolean votes) {
            send(to, new Packet.JoinResponse(disk, group, votes));
        }
    }

    private void replicaStarted(RaftReplica<EventLogStateMachine> replica) {
        feed = new ReplicaFeed(membership.timing(), limits.feed(), replica.machine().log(), nowUs);
        headReads.restart();
    }

    boolean isLeader() {
        return member.isLeader();
    }

    boolean isVoter() {
        return member.isVoter();
    }

    /** Returns the replica's copy of the log, or null before it has one. */
    EventLog log() {
        return member.replica() == null ? null : member.replica().machine().log();
    }

    /** Returns the feed of the directors, or null before this replica belongs to a group. */
    ReplicaFeed feed() {
        return feed;
    }

    @Override
    public void receive(int from, Packet packet, long now) {
        handle(from, packet, now);
        handleLoopback(now);
    }

    private void handleLoopback(long now) {
        while (!loopback.isEmpty()) {
            handle(membership.self(), loopback.removeFirst(), now);
        }
    }

    private void handle(int from, Packet packet, long now) {
        nowUs = now;
        scheduler.run(now);
        packet.dispatch(new PacketHandler(from));
        scheduler.run(now);
    }

    /** Handles one packet; only join packets are handled until this replica belongs to a group. */
    private final class PacketHandler
            implements Packet.Handler<RuntimeException>, EventLogMessage.ReplicaHandler<RuntimeException> {

        private final int from;

        private PacketHandler(int from) {
            this.from = from;
        }

        @Override
        public void joinRequest(Packet.JoinRequest request) {
            member.onJoinRequest(from, request.disk(), request.empty());
        }

        @Override
        public void joinResponse(Packet.JoinResponse response) {
            member.onJoinResponse(from, response.disk(), response.group(), response.member());
        }

        @Override
        public void raftPacket(Packet.RaftPacket packet) {
            if (member.replica() != null && packet.disk() == member.replica().self().disk()) {
                member.replica().handle(packet.message(), nowUs);
            }
        }

        @Override
        public void eventLogPacket(Packet.EventLogPacket packet) {
            if (member.replica() != null && packet.message() instanceof EventLogMessage.ToReplica message) {
                message.dispatch(this);
            }
        }

        @Override
        public void follow(EventLogMessage.Follow follow) {
            sendPush(feed.receive(from, follow, nowUs));
        }

        @Override
        public void openSession(EventLogMessage.OpenSession open) {
            replicate(from, new EventLogStateMachine.OpenSession(),
                    session -> new EventLogMessage.SessionOpened(open.nonce(), (Long) session));
        }

        @Override
        public void append(EventLogMessage.Append append) {
            replicate(from, new EventLogStateMachine.Append(append.session(), append.call(), append.events()),
                    result -> new EventLogMessage.AppendAnswer(append.session(), append.call(),
                            (EventLog.AppendResult) result));
        }

        @Override
        public void readIndex(EventLogMessage.ReadIndex read) {
            if (isLeader()) {
                headReads.add(member::replica, from, read.number());
            }
        }

        @Override
        public void readIndexAnswer(EventLogMessage.ReadIndexAnswer answer) {
            if (answer.number() == proofRound) {
                feed.headProven(answer.head(), proofRoundStartUs);
            }
        }
    }

    /** Rejects the call: a replica has no clients of its own. */
    @Override
    public void append(EventLogTaskMessage.AppendRequested append, long now) {
        append.done().accept(null);
    }

    private void replicate(int client, Object operation, Function<Object, EventLogMessage> answer) {
        if (!isLeader()) {
            sendMessage(client, new EventLogMessage.Redirect(member.replica().leader()));
            return;
        }
        member.replica().replicate(operation, result -> {
            if (result != null) { // otherwise the outcome is unknown: the client retries the call
                sendMessage(client, answer.apply(result));
            }
        });
    }

    private void sendMessage(int to, EventLogMessage message) {
        send(to, new Packet.EventLogPacket(message));
    }

    private void sendPush(ReplicaFeed.Push push) {
        if (push != null) {
            sendMessage(push.director(), push.batch());
        }
    }

    private void send(int to, Packet packet) {
        if (to == membership.self()) {
            loopback.addLast(packet);
        } else {
            link.send(to, packet);
        }
    }

    /**
     * Runs due work and returns the latest time of the next call.
     *
     * @throws IllegalStateException if the storage has failed; it stops the task, whose state is no longer durable
     */
    @Override
    public long tick(long now) {
        long next = runDue(now);
        while (!loopback.isEmpty()) {
            handleLoopback(now);
            next = runDue(now);
        }
        return next;
    }

    private long runDue(long now) {
        nowUs = now;
        if (storage.failed()) {
            throw new IllegalStateException("the replica's file cannot be written");
        }
        scheduler.run(now);
        member.restartIfStuck(now);
        long next = member.join(now);
        if (member.replica() != null) {
            next = Math.min(next, runFeed(now));
        }
        return Math.min(next, scheduler.run(now));
    }

    private long runFeed(long now) {
        if (now >= nextProofRoundUs) {
            startProofRound();
        }
        feed.tick(now).forEach(this::sendPush);
        return Math.min(nextProofRoundUs, feed.nextUs());
    }

    /** Requests the head from the leader, possibly this replica; abandons an unanswered read of the previous round. */
    private void startProofRound() {
        nextProofRoundUs = nowUs + membership.timing().proofIntervalUs();
        int leader = member.replica().leader();
        if (leader >= 0) {
            proofRound++;
            proofRoundStartUs = nowUs;
            sendMessage(leader, new EventLogMessage.ReadIndex(proofRound));
        }
    }

    @Override
    public void stop(long now) {
        nowUs = now;
        member.stop();
        scheduler.run(now);
    }
}
