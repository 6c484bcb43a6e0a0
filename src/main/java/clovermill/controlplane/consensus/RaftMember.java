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
 * stored state it queries the other processes: if none of them has a group it bootstraps one, otherwise it joins with a
 * new identity, because its former votes are unknown. While its storage has failed the member is suspended: it neither
 * sends messages nor responds to them, and restores its replica once all state has been rewritten. Not thread-safe.
 *
 * @param <M> the state machine
 */
public final class RaftMember<M extends ReplicatedStateMachine> {

    /** An unreliable transport of join requests and responses. */
    public interface JoinTransport {
        /**
         * Requests the admission of a new disk or, if {@code empty}, queries whether a group exists; the disk is then
         * a nonce.
         */
        void sendJoinRequest(int to, long disk, boolean empty);

        /** Responds whether the sender has a group and whether the requester's disk is a voter in it. */
        void sendJoinResponse(int to, long disk, boolean hasGroup, boolean isVoter);
    }

    /**
     * The processes of a group.
     *
     * @param self the number of this process
     * @param nodes the numbers of all processes, the same list at every process
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
    /**
     * The nonce that replaces the disk's number in join requests without a replica and is returned in the responses.
     */
    private final long joinNonce;
    /** For each other process that has responded to this incarnation: true if it has a group. */
    private final Map<Integer, Boolean> hasGroupByNode = new HashMap<>();
    private RaftReplica<M> replica;
    /**
     * True if the replica is known to be a voter: an initial member always is, a later identity once another process
     * has confirmed it to this incarnation. The storage is not sufficient, because a process may be killed after it
     * took a new identity and before its admission, and must then continue its join requests
     * (docs/incidents/admission-forgotten.md).
     */
    private boolean admitted;
    private long nextJoinUs;
    private boolean suspended;
    private long nextRecoverUs;

    /**
     * Creates a member without a replica; see {@link #restore}.
     *
     * @param stateMachines creates a new state machine for each replica
     * @param onReplicaCreated called with each replica before it starts
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

    /** Sends a message unless the storage has failed: a later message could acknowledge state that was not written. */
    private void sendIfDurable(ReplicaId to, RaftMessage message, RaftReplica.Host owner) {
        if (!storage.failed()) {
            owner.send().accept(to, message);
        }
    }

    /** Starts a replica from the storage if that contains any state. */
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

    /** Returns the replica, or null if there is none. */
    public RaftReplica<M> replica() {
        return replica;
    }

    /** Returns true if this member has a replica that is known to be a voter. */
    public boolean isVoter() {
        return replica != null && admitted;
    }

    /** Returns true if this member's replica believes that it is the leader. */
    public boolean isLeader() {
        return replica != null && replica.isLeader();
    }

    /**
     * Restarts the replica from the storage if it follows a silent leader (see {@link RaftReplica#isStuck}) or if its
     * entries conflict with the leader's and MicroRaft cannot remove them (see {@link RaftReplica#conflictIndex}).
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

    /** Removes the entries from an index on. Returns false if the storage has failed and must be recovered first. */
    private boolean truncate(long index) {
        try {
            storage.truncateLogEntriesFrom(index);
            storage.flush();
            return true;
        } catch (IOException | UncheckedIOException failure) {
            LOG.log(Level.DEBUG, "cannot remove conflicting entries; retrying after recovery of the storage", failure);
            return false;
        }
    }

    /**
     * Suspends this member when its storage has failed, and resumes it when all state has been rewritten. Must be
     * called at each tick. Returns the time at which it is due next, or {@link Long#MAX_VALUE} while the storage works.
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

    /** Suspends this member. Recovery is not attempted immediately, as writes still queued by the replica must fail. */
    private void suspend(long nowUs) {
        suspended = true;
        nextRecoverUs = nowUs + RECOVER_RETRY_US;
        LOG.log(Level.WARNING, "replica {0} suspended: its storage cannot be written",
                Integer.toString(membership.self()));
        stop();
        replica = null;
    }

    /** Sends join requests if they are due; returns the time of the next ones, or {@link Long#MAX_VALUE}. */
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

    /** Bootstraps a group at a process without state if all others have responded that they have none either. */
    private void bootstrapIfAllEmpty() {
        Set<Integer> others = new HashSet<>(membership.nodes());
        others.remove(membership.self());
        if (replica == null && hasGroupByNode.keySet().containsAll(others) && !hasGroupByNode.containsValue(true)) {
            startReplica(new ReplicaId(membership.self(), 0), null);
        }
    }

    private boolean isSuspended() {
        return suspended || storage.failed();
    }

    /** Handles a join request. Ignores it while suspended, as it is then unknown whether a group exists. */
    public void onJoinRequest(int from, long disk, boolean empty) {
        if (isSuspended()) {
            return;
        }
        boolean hasGroup = replica != null && replica.hasCommitted();
        boolean isVoter = replica != null && replica.isVoter(new ReplicaId(from, disk));
        if (!empty && !isVoter && isLeader()) {
            replica.admit(new ReplicaId(from, disk));
        }
        joinTransport.sendJoinResponse(from, disk, hasGroup, isVoter);
    }

    /** Handles the response to a join request. */
    public void onJoinResponse(int from, long disk, boolean hasGroup, boolean isVoter) {
        if (isSuspended()) {
            return;
        }
        if (replica == null) {
            onGroupStatus(from, disk, hasGroup);
        } else if (isVoter && disk == replica.self().disk()) {
            admitted = true;
        }
    }

    /**
     * Records whether another process has a group. Ignores a response to an earlier incarnation of this process,
     * because a group may have been created since and this process may have voted in it.
     */
    private void onGroupStatus(int from, long nonce, boolean hasGroup) {
        if (nonce != joinNonce) {
            return;
        }
        hasGroupByNode.put(from, hasGroup);
        if (hasGroup) {
            joinUnderNewIdentity();
        }
    }

    /** Starts a replica with a new identity, as a learner, because this process's former votes are lost. */
    private void joinUnderNewIdentity() {
        try {
            storage.clear();
        } catch (UncheckedIOException failure) {
            LOG.log(Level.DEBUG, "cannot clear the storage; retrying after its recovery", failure);
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
