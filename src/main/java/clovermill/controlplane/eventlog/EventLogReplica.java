package clovermill.controlplane.eventlog;

import clovermill.controlplane.consensus.RaftMember;
import clovermill.controlplane.consensus.RaftReplica;
import clovermill.controlplane.consensus.RaftScheduler;
import clovermill.controlplane.consensus.RaftStorage;
import clovermill.controlplane.eventlog.decide.EventLog;
import clovermill.controlplane.eventlog.decide.EventLogMessage;
import clovermill.controlplane.eventlog.decide.ReplicaFeed;
import io.microraft.RaftConfig;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Function;

/**
 * A replica of the log: takes part in Raft, appends for clients while it leads, proves its log each round by a read at
 * the leader, and feeds the directors that follow it. Not thread-safe.
 */
final class EventLogReplica {

    /** Sends a packet to a process; one to the sender itself comes too, after this turn. */
    interface Link {
        void send(int to, Packet packet);
    }

    /** Raft entries in one message; most hold one event, and all must fit a UDP datagram. */
    private static final int APPEND_BATCH = 16;
    /** Reads that wait for the leader; at one more the oldest is forgotten, and asked again in the next round. */
    private static final int MOST_READS = 64;

    private record Read(int from, long number) {}

    private final EventLogTask.Membership place;
    private final EventLogTask.ReplicaLimits bounds;
    private final RaftStorage storage;
    private final RaftScheduler scheduler;
    private final RaftMember<EventLogStateMachine> member;
    private final Link link;
    private ReplicaFeed feed;
    private List<Read> waiting = new ArrayList<>();
    private boolean reading;
    private long round;
    private long roundBeganUs;
    private long roundAtUs;
    private long nowUs;

    EventLogReplica(EventLogTask.Membership place, EventLogTask.ReplicaLimits bounds, RaftStorage storage,
            Random random, Link link, long nowUs) {
        this.place = place;
        this.bounds = bounds;
        this.storage = storage;
        this.link = link;
        this.nowUs = nowUs;
        this.scheduler = new RaftScheduler(nowUs);
        RaftConfig config = RaftReplica.config().setAppendEntriesRequestBatchSize(APPEND_BATCH)
                .setCommitCountToTakeSnapshot(bounds.snapshotEvery()).build();
        RaftReplica.Host host = new RaftReplica.Host(EventOperationCodec.GROUP, config, storage, scheduler, random,
                (to, message) -> link.send(to.node(), new Packet.RaftPacket(to.disk(), message)));
        this.member = new RaftMember<>(
                new RaftMember.Membership(place.self(), place.replicas(), place.terms().roundUs()),
                storage, host, () -> new EventLogStateMachine(bounds.log(), () -> random.nextLong() | 1), this::began,
                new Joins());
        member.restore();
    }

    private final class Joins implements RaftMember.JoinTransport {
        @Override
        public void sendJoinRequest(int to, long disk, boolean empty) {
            link.send(to, new Packet.JoinRequest(disk, empty));
        }

        @Override
        public void sendJoinResponse(int to, long disk, boolean group, boolean votes) {
            link.send(to, new Packet.JoinResponse(disk, group, votes));
        }
    }

    private void began(RaftReplica<EventLogStateMachine> replica) {
        feed = new ReplicaFeed(place.terms(), bounds.feed(), replica.machine().log(), nowUs);
        reading = false;
    }

    boolean leads() {
        return member.leads();
    }

    boolean votes() {
        return member.votes();
    }

    /** Its copy of the log, or null before it has one. */
    EventLog log() {
        return member.replica() == null ? null : member.replica().machine().log();
    }

    ReplicaFeed feed() {
        return feed;
    }

    /** Takes a packet. */
    void on(int from, Packet packet, long now) {
        nowUs = now;
        scheduler.run(now);
        if (packet instanceof Packet.JoinRequest join) {
            member.onJoin(from, join.disk(), join.empty());
        } else if (packet instanceof Packet.JoinResponse joined) {
            member.onJoined(from, joined.disk(), joined.group(), joined.member());
        } else if (member.replica() != null) {
            replicaOn(from, packet);
        }
        scheduler.run(now);
    }

    private void replicaOn(int from, Packet packet) {
        if (packet instanceof Packet.RaftPacket raft && raft.disk() == member.replica().self().disk()) {
            member.replica().handle(raft.message(), nowUs);
        } else if (packet instanceof Packet.EventLogPacket plain) {
            plainOn(from, plain.message());
        }
    }

    private void plainOn(int from, EventLogMessage message) {
        if (message instanceof EventLogMessage.Follow follow) {
            send(feed.on(from, follow, nowUs));
        } else if (message instanceof EventLogMessage.OpenSession open) {
            put(from, new EventLogStateMachine.OpenSession(),
                    session -> new EventLogMessage.SessionOpened(open.nonce(), (Long) session));
        } else if (message instanceof EventLogMessage.Append append) {
            put(from, new EventLogStateMachine.Append(append.session(), append.call(), append.events()),
                    result -> new EventLogMessage.AppendAnswer(append.session(), append.call(),
                            (EventLog.AppendResult) result));
        } else if (message instanceof EventLogMessage.ReadIndex read && leads()) {
            wait(new Read(from, read.number()));
        } else if (message instanceof EventLogMessage.ReadIndexAnswer answer && answer.number() == round) {
            feed.proven(answer.head(), roundBeganUs);
        }
    }

    private void put(int from, Object operation, Function<Object, EventLogMessage> answers) {
        if (!leads()) {
            plain(from, new EventLogMessage.Redirect(member.replica().leader()));
            return;
        }
        member.replica().replicate(operation, result -> {
            if (result != null) { // else it is not known what becomes of it: the client sends it again
                plain(from, answers.apply(result));
            }
        });
    }

    private void wait(Read read) {
        if (waiting.size() >= MOST_READS) {
            waiting.remove(0);
        }
        waiting.add(read);
        readHead();
    }

    /** One read at a time; those that come meanwhile are answered by the next, which begins after they came. */
    private void readHead() {
        if (reading || waiting.isEmpty()) {
            return;
        }
        List<Read> batch = waiting;
        waiting = new ArrayList<>();
        reading = true;
        RaftReplica<EventLogStateMachine> asked = member.replica();
        asked.query(new EventLogStateMachine.ReadHead(), head -> {
            if (asked != member.replica()) {
                return;
            }
            reading = false;
            if (head != null) {
                batch.forEach(
                        read -> plain(read.from(), new EventLogMessage.ReadIndexAnswer(read.number(), (Long) head)));
            }
            readHead();
        });
    }

    private void plain(int to, EventLogMessage message) {
        link.send(to, new Packet.EventLogPacket(message));
    }

    private void send(ReplicaFeed.Push push) {
        if (push != null) {
            plain(push.director(), push.batch());
        }
    }

    /** Does what is due; returns when it is to be called again. */
    long tick(long now) {
        nowUs = now;
        if (storage.failed()) {
            throw new IllegalStateException("the replica's file cannot be written");
        }
        scheduler.run(now);
        member.restartIfStuck(now);
        long next = member.join(now);
        if (member.replica() != null) {
            if (now >= roundAtUs) {
                round();
            }
            feed.tick(now).forEach(this::send);
            next = Math.min(next, Math.min(roundAtUs, feed.nextUs()));
        }
        return Math.min(next, scheduler.run(now));
    }

    /** Asks the leader, maybe itself, for the head; a read that was not answered by now is given up. */
    private void round() {
        roundAtUs = nowUs + place.terms().roundUs();
        int leader = member.replica().leader();
        if (leader >= 0) {
            round++;
            roundBeganUs = nowUs;
            plain(leader, new EventLogMessage.ReadIndex(round));
        }
    }

    void stop(long now) {
        nowUs = now;
        member.stop();
        scheduler.run(now);
    }
}
