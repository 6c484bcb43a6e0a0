package clovermill.controlplane.eventlog;

import clovermill.controlplane.consensus.RaftStorage;
import clovermill.controlplane.eventlog.decide.AppendClient;
import clovermill.controlplane.eventlog.decide.Delivery;
import clovermill.controlplane.eventlog.decide.EventLog;
import clovermill.controlplane.eventlog.decide.EventLogTiming;
import clovermill.controlplane.eventlog.decide.Follower;
import clovermill.controlplane.eventlog.decide.ReplicaFeed;
import clovermill.runtime.task.Task;
import java.util.List;
import java.util.Random;

/**
 * The event log's task in one process, which is either a replica (it has a storage) or a director (it follows the log
 * and appends to it). Owns all its state; communicates with other processes by signed datagrams only. Times are
 * microseconds of the task's clock.
 */
public final class EventLogTask implements Task<EventLogTaskMessage> {

    /**
     * This process and the fleet that it belongs to.
     *
     * @param self this process's number
     * @param members the number of processes
     * @param replicas the numbers of the replicas, the same list in every process
     * @param key the fleet's key for signatures
     */
    public record Membership(int self, int members, List<Integer> replicas, EventLogTiming timing, byte[] key) {}

    /**
     * Limits of a replica.
     *
     * @param snapshotEvery Raft entries between two snapshots of the log
     */
    public record ReplicaLimits(EventLog.Bounds log, ReplicaFeed.Bounds feed, int snapshotEvery) {}

    /** Sends a datagram to a process; it may be lost. */
    @FunctionalInterface
    public interface Link {
        /** Sends it. */
        void send(int to, byte[] datagram);
    }

    /** Receives what the log delivers, on the task's thread. */
    public interface Listener {
        /** An event, or a truncated prefix in place of many, takes effect; in the order of the log. */
        void delivered(Delivery delivery);

        /** The copy of the log is proven complete until this moment of the task's clock; a past one: unproven. */
        void proven(long untilUs);
    }

    /** Null at a director. */
    private final EventLogReplica replica;
    /** Null at a replica. */
    private final EventLogDirector director;
    private final EventLogRole role;
    private final PacketCodec codec;
    private final EventLogTaskMessage.Handler handler = new MessageHandler();
    private long rejectedDatagrams;

    private EventLogTask(PacketCodec codec, EventLogReplica replica, EventLogDirector director) {
        this.codec = codec;
        this.replica = replica;
        this.director = director;
        this.role = replica == null ? director : replica;
    }

    /** A replica that starts now, from its storage. */
    public static EventLogTask replica(Membership membership, ReplicaLimits limits, RaftStorage storage, Random random,
            Link link, long nowUs) {
        PacketCodec codec = codec(membership, random.nextLong());
        return new EventLogTask(codec,
                new EventLogReplica(membership, limits, storage, random, encoding(codec, link), nowUs), null);
    }

    /** A director that starts now, with an empty copy of the log. */
    public static EventLogTask director(Membership membership, Random random, Link link, Listener listener,
            long nowUs) {
        long incarnation = random.nextLong();
        PacketCodec codec = codec(membership, incarnation);
        List<Integer> replicas = membership.replicas();
        Follower follower = new Follower(membership.timing(), membership.self(), replicas, incarnation, random, nowUs);
        AppendClient appender = new AppendClient(replicas, membership.self(), random.nextLong());
        return new EventLogTask(codec, null,
                new EventLogDirector(follower, appender, encoding(codec, link), listener));
    }

    private static PacketCodec codec(Membership membership, long incarnation) {
        return new PacketCodec(membership.self(), membership.members(), membership.key(), incarnation);
    }

    private static EventLogRole.Link encoding(PacketCodec codec, Link link) {
        return (to, packet) -> link.send(to, codec.write(to, packet));
    }

    /** The position of a director in the log; -1 at a replica. */
    public long position() {
        return director == null ? -1 : director.follower().position();
    }

    /** The replica that a director follows; -1 at a replica. */
    public int followedReplica() {
        return director == null ? -1 : director.follower().replica();
    }

    /** Whether a director's copy of the log is proven at a moment of its clock. */
    public boolean proven(long nowUs) {
        return director != null && director.follower().freshness().proven(nowUs);
    }

    /** A director's counters; null at a replica. */
    public Follower.Counts followerCounts() {
        return director == null ? null : director.follower().counts();
    }

    /** A replica's counters of what it sent; null at a director, and before the replica has a log. */
    public ReplicaFeed.Counts feedCounts() {
        return replica == null || replica.feed() == null ? null : replica.feed().counts();
    }

    /** A replica's copy of the log; null at a director, and before the replica has one. */
    public EventLog log() {
        return replica == null ? null : replica.log();
    }

    /** Whether this is a replica that believes that it leads. */
    public boolean isLeader() {
        return replica != null && replica.isLeader();
    }

    /** Whether this is a voting replica; one that lost its disk does not vote until the group admits it again. */
    public boolean isVoter() {
        return replica != null && replica.isVoter();
    }

    /** Datagrams that were rejected since the start: forged, replayed or not readable. */
    public long rejectedDatagrams() {
        return rejectedDatagrams;
    }

    @Override
    public void on(EventLogTaskMessage message, long nowUs) {
        message.dispatch(handler, nowUs);
    }

    private final class MessageHandler implements EventLogTaskMessage.Handler {
        @Override
        public void datagramReceived(EventLogTaskMessage.DatagramReceived datagram, long nowUs) {
            PacketCodec.Received received;
            try {
                received = codec.read(datagram.bytes());
            } catch (InvalidPacketException invalid) {
                rejectedDatagrams++;
                return;
            }
            role.receive(received.from(), received.packet(), nowUs);
        }

        @Override
        public void appendRequested(EventLogTaskMessage.AppendRequested append, long nowUs) {
            role.append(append, nowUs);
        }
    }

    @Override
    public long tick(long nowUs) {
        return role.tick(nowUs);
    }

    @Override
    public void stop(long nowUs) {
        role.stop(nowUs);
    }
}
