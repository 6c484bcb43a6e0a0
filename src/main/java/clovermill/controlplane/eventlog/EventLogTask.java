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
 * The event log's task in one process, which is either a replica (with storage) or a director (which follows the log
 * and appends to it). Owns all its state, and communicates with other processes only by signed datagrams. Times are
 * microseconds of the task's clock.
 */
public final class EventLogTask implements Task<EventLogTaskMessage> {

    /**
     * The identity of this process and of its fleet.
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
     * @param snapshotEvery the minimum number of Raft entries between two snapshots of the log
     */
    public record ReplicaLimits(EventLog.Bounds log, ReplicaFeed.Bounds feed, int snapshotEvery) {}

    /** An unreliable link to the other processes. */
    @FunctionalInterface
    public interface Link {
        /** Sends a datagram to a process; it may be lost. */
        void send(int to, byte[] datagram);
    }

    /** A listener to the log, called on the task's thread. */
    public interface Listener {
        /** Applies an event, or a truncated prefix in place of many; called in the order of the log. */
        void delivered(Delivery delivery);

        /**
         * Reports until when the copy of the log is proven complete.
         *
         * @param untilUs a time of the task's clock; the copy is unproven if it is past
         */
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

    /** Creates a replica that starts now, from its storage. */
    public static EventLogTask replica(Membership membership, ReplicaLimits limits, RaftStorage storage, Random random,
            Link link, long nowUs) {
        PacketCodec codec = codec(membership, random.nextLong());
        return new EventLogTask(codec,
                new EventLogReplica(membership, limits, storage, random, encoding(codec, link), nowUs), null);
    }

    /** Creates a director that starts now, with an empty copy of the log. */
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

    /** Returns the position of a director in the log; -1 at a replica. */
    public long position() {
        return director == null ? -1 : director.follower().position();
    }

    /** Returns the replica that a director follows; -1 at a replica. */
    public int followedReplica() {
        return director == null ? -1 : director.follower().replica();
    }

    /** Returns whether a director's copy of the log is proven at a time of its clock. */
    public boolean proven(long nowUs) {
        return director != null && director.follower().freshness().proven(nowUs);
    }

    /** Returns the counters of a director; null at a replica. */
    public Follower.Counts followerCounts() {
        return director == null ? null : director.follower().counts();
    }

    /** Returns the counters of a replica's feed; null at a director, and before the replica has a log. */
    public ReplicaFeed.Counts feedCounts() {
        return replica == null || replica.feed() == null ? null : replica.feed().counts();
    }

    /** Returns a replica's copy of the log; null at a director, and before the replica has one. */
    public EventLog log() {
        return replica == null ? null : replica.log();
    }

    /** Returns whether this is a replica that considers itself the leader. */
    public boolean isLeader() {
        return replica != null && replica.isLeader();
    }

    /** Returns whether this is a voter; a replica that lost its disk does not vote until the group readmits it. */
    public boolean isVoter() {
        return replica != null && replica.isVoter();
    }

    /** Returns the number of datagrams rejected since the start: forged, replayed or malformed. */
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
