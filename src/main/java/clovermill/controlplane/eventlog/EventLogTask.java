package clovermill.controlplane.eventlog;

import clovermill.controlplane.consensus.RaftStorage;
import clovermill.controlplane.eventlog.decide.AppendClient;
import clovermill.controlplane.eventlog.decide.Delivery;
import clovermill.controlplane.eventlog.decide.EventLog.AppendResult;
import clovermill.controlplane.eventlog.decide.EventLog;
import clovermill.controlplane.eventlog.decide.EventLogMessage;
import clovermill.controlplane.eventlog.decide.EventLogTiming;
import clovermill.controlplane.eventlog.decide.Follower;
import clovermill.controlplane.eventlog.decide.FreshnessLease;
import clovermill.controlplane.eventlog.decide.ReplicaFeed;
import clovermill.runtime.task.Task;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/**
 * A process's part in the event log: a replica where it has a storage, and otherwise a director that follows the log
 * and appends to it. All its state is its own; it meets others by signed datagrams only.
 */
public final class EventLogTask implements Task<EventLogTaskMessage> {

    /**
     * Who it is among whom.
     *
     * @param self this process's number
     * @param members how many processes there are
     * @param replicas the processes that keep the log, the same list everywhere
     * @param key the fleet's key
     */
    public record Membership(int self, int members, List<Integer> replicas, EventLogTiming terms, byte[] key) {}

    /**
     * Bounds of a replica.
     *
     * @param snapshotEvery Raft entries from one snapshot of the log to the next
     */
    public record ReplicaLimits(EventLog.Bounds log, ReplicaFeed.Bounds feed, int snapshotEvery) {}

    /** Sends a datagram to a process; it may be lost. */
    @FunctionalInterface
    public interface Link {
        /** Sends it. */
        void send(int to, byte[] datagram);
    }

    /** Called on the task's thread with what the log delivers. */
    public interface Listener {
        /** An event, or what stands for many, takes effect; in order. */
        void delivered(Delivery delivery);

        /** All that is held is proven until then, by the task's clock; in the past if it is not. */
        void proven(long untilUs);
    }

    private final PacketCodec codec;
    private final int self;
    private final Link link;
    private final Listener listener;
    private final EventLogReplica replica;
    private final Follower follower;
    private final AppendClient appender;
    /** Who waits for which call; at most {@link AppendClient#MOST_WAITING}. */
    private final Map<Long, Consumer<AppendResult>> calls = new HashMap<>();
    /** What this replica sends to itself in a turn; taken before the turn ends. */
    private final Deque<Packet> ownPackets = new ArrayDeque<>();
    private long tokens;
    private long badDatagrams;
    private long reportedProvenUntilUs = FreshnessLease.NEVER;

    private EventLogTask(Membership place, ReplicaLimits bounds, RaftStorage storage, Random random, Link link,
            Listener listener, long nowUs) {
        long boot = random.nextLong();
        this.codec = new PacketCodec(place.self(), place.members(), place.key(), boot);
        this.self = place.self();
        this.link = link;
        this.listener = listener;
        this.replica = storage == null ? null
                : new EventLogReplica(place, bounds, storage, random, this::send, nowUs);
        this.follower = storage != null ? null
                : new Follower(place.terms(), place.self(), place.replicas(), boot, random, nowUs);
        this.appender = storage != null ? null : new AppendClient(place.replicas(), place.self(), random.nextLong());
    }

    /** A replica that begins now, from its storage. */
    public static EventLogTask replica(Membership place, ReplicaLimits bounds, RaftStorage storage, Random random,
            Link link, long nowUs) {
        return new EventLogTask(place, bounds, storage, random, link, null, nowUs);
    }

    /** A director that begins now and knows nothing. */
    public static EventLogTask director(Membership place, Random random, Link link, Listener listener, long nowUs) {
        return new EventLogTask(place, null, null, random, link, listener, nowUs);
    }

    /** The position of a director in the log; -1 at a replica. */
    public long position() {
        return follower == null ? -1 : follower.position();
    }

    /** The replica that a director follows; -1 at a replica. */
    public int follows() {
        return follower == null ? -1 : follower.replica();
    }

    /** Whether what a director holds is proven at a moment of its clock. */
    public boolean proven(long nowUs) {
        return follower != null && follower.freshness().proven(nowUs);
    }

    /** What a director has seen; null at a replica. */
    public Follower.Counts followerCounts() {
        return follower == null ? null : follower.counts();
    }

    /** What a replica has sent; null elsewhere, and before it has a log. */
    public ReplicaFeed.Counts feedCounts() {
        return replica == null || replica.feed() == null ? null : replica.feed().counts();
    }

    /** A replica's copy of the log; null elsewhere, and before it has one. */
    public EventLog log() {
        return replica == null ? null : replica.log();
    }

    /** Whether it is a replica that leads, as far as it knows. */
    public boolean leads() {
        return replica != null && replica.leads();
    }

    /** Whether it is a replica that votes; one that has lost its disk does not until it is taken in anew. */
    public boolean votes() {
        return replica != null && replica.votes();
    }

    /** Datagrams that were forged, repeated or not readable. */
    public long badDatagrams() {
        return badDatagrams;
    }

    private void send(int to, Packet packet) {
        if (to == self) {
            ownPackets.addLast(packet);
        } else {
            link.send(to, codec.write(to, packet));
        }
    }

    private void send(int to, EventLogMessage message) {
        send(to, new Packet.EventLogPacket(message));
    }

    @Override
    public void on(EventLogTaskMessage mail, long nowUs) {
        if (mail instanceof EventLogTaskMessage.DatagramReceived datagram) {
            try {
                PacketCodec.Received received = codec.read(datagram.bytes());
                received(received.from(), received.packet(), nowUs);
            } catch (PacketCodec.InvalidPacketException bad) {
                badDatagrams++;
            }
        } else if (mail instanceof EventLogTaskMessage.AppendRequested append) {
            append(append, nowUs);
        }
    }

    private void append(EventLogTaskMessage.AppendRequested append, long nowUs) {
        if (appender != null && appender.offer(++tokens, append.events(), nowUs)) {
            calls.put(tokens, append.done());
        } else {
            append.done().accept(null);
        }
    }

    private void received(int from, Packet packet, long nowUs) {
        if (replica != null) {
            replica.on(from, packet, nowUs);
            takeOwn(nowUs);
        } else if (packet instanceof Packet.EventLogPacket plain) {
            directorOn(from, plain.message(), nowUs);
        }
    }

    private void takeOwn(long nowUs) {
        while (!ownPackets.isEmpty()) {
            replica.on(self, ownPackets.removeFirst(), nowUs);
        }
    }

    private void directorOn(int from, EventLogMessage message, long nowUs) {
        if (message instanceof EventLogMessage.Batch batch) {
            follower.on(from, batch, nowUs).forEach(listener::delivered);
            reportProven();
        } else if (message instanceof EventLogMessage.SessionOpened opened) {
            appender.on(opened, nowUs);
        } else if (message instanceof EventLogMessage.Redirect redirect) {
            appender.on(redirect, nowUs);
        } else if (message instanceof EventLogMessage.AppendAnswer answered) {
            AppendClient.CallResult done = appender.on(answered, nowUs);
            if (done != null) {
                calls.remove(done.token()).accept(done.result());
            }
        }
    }

    private void reportProven() {
        long untilUs = follower.freshness().provenUntilUs();
        if (untilUs != reportedProvenUntilUs) {
            reportedProvenUntilUs = untilUs;
            listener.proven(untilUs);
        }
    }

    @Override
    public long tick(long nowUs) {
        if (replica != null) {
            long next = replica.tick(nowUs);
            while (!ownPackets.isEmpty()) {
                takeOwn(nowUs);
                next = replica.tick(nowUs);
            }
            return next;
        }
        Follower.Request follow = follower.tick(nowUs);
        if (follow != null) {
            send(follow.replica(), follow.follow());
        }
        AppendClient.Request request = appender.tick(nowUs);
        if (request != null) {
            send(request.replica(), request.message());
        }
        reportProven();
        return Math.min(follower.nextUs(nowUs), appender.nextUs());
    }

    @Override
    public void stop(long nowUs) {
        if (replica != null) {
            replica.stop(nowUs);
        }
    }
}
