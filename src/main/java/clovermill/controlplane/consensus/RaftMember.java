package clovermill.controlplane.consensus;

import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The membership of one process in a Raft group, across restarts. It restores its replica from its storage. Without
 * stored state it asks the other processes: where none has a group either it bootstraps one, else it joins under a new
 * identity, since its former votes are unknown. While its storage has failed it is suspended: it sends and answers
 * nothing, and restores its replica once all state has been rewritten. Not thread-safe.
 *
 * @param <M> the state machine
 */
public final class RaftMember<M extends ReplicatedStateMachine> {

    /** Sends the messages of processes that join; any may be lost. */
    public interface JoinTransport {
        /**
         * Requests admission of a new disk; or, if {@code empty}, asks whether a group exists: disk is a nonce then.
         */
        void sendJoinRequest(int to, long disk, boolean empty);

        /** Answers whether the sender has a group, and whether the requester's disk votes in it. */
        void sendJoinResponse(int to, long disk, boolean hasGroup, boolean isVoter);
    }

    /**
     * The processes of a group, and which of them this one is.
     *
     * @param self this process's number
     * @param nodes the numbers of all processes, the same list everywhere
     * @param joinRetryUs the interval between join requests
     */
    public record Membership(int self, List<Integer> nodes, long joinRetryUs) {}

    private static final System.Logger LOG = System.getLogger(RaftMember.class.getName());
    /** The interval between attempts to recover the storage. */
    private static final long RECOVER_RETRY_US = 1_000_000;

    private final Membership membership;
    private final RaftStorage storage;
    private final RaftReplica.Host host;
    private final Supplier<M> stateMachines;
    private final Consumer<RaftReplica<M>> onReplicaCreated;
    private final JoinTransport joinTransport;
    /** Takes the place of a disk's number in join requests without a replica, and comes back in their answers. */
    private final long joinNonce;
    /** Whether each other process has a group, as far as they have answered this life of the process. */
    private final Map<Integer, Boolean> groups = new HashMap<>();
    private RaftReplica<M> replica;
    /**
     * Whether the replica is known to be a voter: one of the initial members is, a later identity once a process has
     * said so in this life. Its storage does not tell: a process may have been killed between its new identity and its
     * admission, and has to ask on (docs/incidents/admission-forgotten.md).
     */
    private boolean admitted;
    private long nextJoinUs;
    private boolean suspended;
    private long nextRecoverUs;

    /**
     * A member without a replica; see {@link #restore}.
     *
     * @param stateMachines makes a fresh state machine for each replica
     * @param onReplicaCreated is called with each replica before it starts
     */
    public RaftMember(Membership membership, RaftStorage storage, RaftReplica.Host host, Supplier<M> stateMachines,
            Consumer<RaftReplica<M>> onReplicaCreated, JoinTransport joinTransport) {
        this.membership = membership;
        this.storage = storage;
        this.host = new RaftReplica.Host(host.group(), host.config(), host.store(), host.scheduler(), host.random(),
                (to, message) -> sendIfDurable(to, message, host));
        this.stateMachines = stateMachines;
        this.onReplicaCreated = onReplicaCreated;
        this.joinTransport = joinTransport;
        this.joinNonce = host.random().nextLong();
    }

    /** State that could not be written must not be acknowledged, not even by a later message. */
    private void sendIfDurable(ReplicaId to, RaftMessage message, RaftReplica.Host owner) {
        if (!storage.failed()) {
            owner.send().accept(to, message);
        }
    }

    /** Starts a replica from the storage, if that has any state. */
    public void restore() {
        RestoredRaftState restored = storage.restored();
        if (restored != null) {
            startReplica((ReplicaId) restored.getLocalEndpointPersistentState().getLocalEndpoint(), restored);
        }
    }

    private void startReplica(ReplicaId self, RestoredRaftState restored) {
        List<ReplicaId> replicas = membership.nodes().stream().map(node -> new ReplicaId(node, 0)).toList();
        replica = new RaftReplica<>(self, replicas, restored, stateMachines.get(), host);
        admitted = self.disk() == 0;
        onReplicaCreated.accept(replica);
        replica.start();
    }

    /** The replica, or null before there is one. */
    public RaftReplica<M> replica() {
        return replica;
    }

    /** Whether it has a replica that votes, as far as it knows. */
    public boolean votes() {
        return replica != null && admitted;
    }

    /** Whether its replica is the leader, as far as it knows. */
    public boolean leads() {
        return replica != null && replica.leads();
    }

    /**
     * Restarts from the storage a replica that follows a silent leader (see {@link RaftReplica#isStuck}), or one whose
     * entries conflict with the leader's where MicroRaft cannot remove them (see {@link RaftReplica#conflictIndex}).
     */
    public void restartIfStuck(long nowUs) {
        if (replica == null) {
            return;
        }
        boolean conflicts = replica.conflictIndex() != RaftReplica.NO_CONFLICT;
        if (conflicts && !truncate(replica.conflictIndex())) {
            return;
        }
        if (conflicts || replica.isStuck(nowUs)) {
            replica.stop();
            startReplica(replica.self(), storage.restored());
        }
    }

    /** Returns whether the storage holds no entries from an index on; if not, it has failed and is recovered first. */
    private boolean truncate(long index) {
        try {
            storage.truncateLogEntriesFrom(index);
            storage.flush();
            return true;
        } catch (IOException | UncheckedIOException failure) {
            LOG.log(Level.DEBUG, "conflicting entries could not be removed; retried after a recovery", failure);
            return false;
        }
    }

    /**
     * Suspends this member when its storage has failed, and resumes it when all state has been rewritten; to be called
     * at each tick. Returns when it is due next, or {@link Long#MAX_VALUE} while the storage works.
     */
    public long recover(long nowUs) {
        if (!storage.failed() && !suspended) {
            return Long.MAX_VALUE;
        }
        if (!suspended) {
            suspend(nowUs);
        } else if (nowUs >= nextRecoverUs) {
            nextRecoverUs = nowUs + RECOVER_RETRY_US;
            if (storage.recover()) {
                suspended = false;
                LOG.log(Level.INFO, "replica {0} resumed: its storage is writable and has been rewritten",
                        Integer.toString(membership.self()));
                restore();
                return Long.MAX_VALUE;
            }
        }
        return nextRecoverUs;
    }

    /** Recovery is not tried at once: writes that the replica has still queued must fail. */
    private void suspend(long nowUs) {
        suspended = true;
        nextRecoverUs = nowUs + RECOVER_RETRY_US;
        LOG.log(Level.WARNING, "replica {0} suspended: its storage cannot be written",
                Integer.toString(membership.self()));
        stop();
        replica = null;
    }

    /** Sends join requests, if they are due; returns when the next are, or {@link Long#MAX_VALUE}. */
    public long join(long nowUs) {
        if (replica != null && admitted || isSuspended()) {
            return Long.MAX_VALUE;
        }
        if (nowUs >= nextJoinUs) {
            nextJoinUs = nowUs + membership.joinRetryUs();
            long disk = replica == null ? joinNonce : replica.self().disk();
            membership.nodes().stream().filter(each -> each != membership.self())
                    .forEach(each -> joinTransport.sendJoinRequest(each, disk, replica == null));
            bootstrapIfAllEmpty();
        }
        return replica != null && admitted ? Long.MAX_VALUE : nextJoinUs;
    }

    /** A process without state bootstraps a group only where all others have answered that they have none either. */
    private void bootstrapIfAllEmpty() {
        Set<Integer> others = new HashSet<>(membership.nodes());
        others.remove(membership.self());
        if (replica == null && groups.keySet().containsAll(others) && !groups.containsValue(true)) {
            startReplica(new ReplicaId(membership.self(), 0), null);
        }
    }

    private boolean isSuspended() {
        return suspended || storage.failed();
    }

    /** Handles a join request; not answered while suspended, as it is unknown then whether a group exists. */
    public void onJoin(int from, long disk, boolean empty) {
        if (isSuspended()) {
            return;
        }
        boolean hasGroup = replica != null && replica.hasCommitted();
        boolean isVoter = replica != null && replica.isVoter(new ReplicaId(from, disk));
        if (!empty && !isVoter && leads()) {
            replica.admit(new ReplicaId(from, disk));
        }
        joinTransport.sendJoinResponse(from, disk, hasGroup, isVoter);
    }

    /** Handles the answer to a join request. */
    public void onJoined(int from, long disk, boolean hasGroup, boolean isVoter) {
        if (isSuspended()) {
            return;
        }
        if (replica == null) {
            groupAnswered(from, disk, hasGroup);
        } else if (isVoter && disk == replica.self().disk()) {
            admitted = true;
        }
    }

    /** An answer to an earlier life of this process tells nothing: a group may have begun since, and this one voted. */
    private void groupAnswered(int from, long nonce, boolean hasGroup) {
        if (nonce != joinNonce) {
            return;
        }
        groups.put(from, hasGroup);
        if (hasGroup) {
            joinUnderNewIdentity();
        }
    }

    /** The former votes are lost: it starts as a learner, and votes under a new identity only. */
    private void joinUnderNewIdentity() {
        try {
            storage.clear();
        } catch (UncheckedIOException failure) {
            LOG.log(Level.DEBUG, "the storage could not be cleared; retried after its recovery", failure);
            return;
        }
        startReplica(new ReplicaId(membership.self(), host.random().nextLong() >>> 1 | 1), null);
    }

    /** Stops the replica. */
    public void stop() {
        if (replica != null) {
            replica.stop();
        }
    }
}
