package clovermill.consensus;

import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
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
 * A process's place in a Raft group over its starts: it begins from its store; without one it asks the others, and
 * either founds the group with them or is taken in with a new identity, as it does not know what it promised. While its
 * store has failed it takes no part: it sends nothing, answers nobody, and begins anew once all is written again. Not
 * thread-safe.
 *
 * @param <M> the state machine
 */
public final class RaftMember<M extends ReplicatedStateMachine> {

    /** Sends the questions and answers of processes that join; any may be lost. */
    public interface Outbox {
        /**
         * Asks to be taken in under a new disk; or, where {@code empty}, whether there is a group.
         */
        void join(int to, long disk, boolean empty);

        /** Answers: whether the sender has a group, and whether the asker's disk votes in it. */
        void joined(int to, long disk, boolean group, boolean member);
    }

    /**
     * Who it is among whom.
     *
     * @param self this process's number
     * @param nodes all processes of the group by number, the same list everywhere
     * @param retryUs how long an unanswered question to join waits
     */
    public record Place(int self, List<Integer> nodes, long retryUs) {}

    private static final System.Logger LOG = System.getLogger(RaftMember.class.getName());
    /** How long after a failure, and after each try, the store is tried again. */
    private static final long RECOVER_RETRY_US = 1_000_000;

    private final Place place;
    private final RaftStorage storage;
    private final RaftReplica.Host host;
    private final Supplier<M> machines;
    private final Consumer<RaftReplica<M>> began;
    private final Outbox outbox;
    private final Map<Integer, Boolean> groups = new HashMap<>();
    private RaftReplica<M> replica;
    private boolean admitted = true;
    private long joinAtUs;
    private boolean steppedOut;
    private long recoverAtUs;

    /**
     * A member that is yet to begin.
     *
     * @param machines makes a fresh state machine for each beginning
     * @param began is told of each replica before it starts
     */
    public RaftMember(Place place, RaftStorage storage, RaftReplica.Host host, Supplier<M> machines,
            Consumer<RaftReplica<M>> began, Outbox outbox) {
        this.place = place;
        this.storage = storage;
        this.host = new RaftReplica.Host(host.group(), host.config(), host.store(), host.scheduler(), host.random(),
                (to, message) -> sendIfKept(to, message, host));
        this.machines = machines;
        this.began = began;
        this.outbox = outbox;
    }

    /** What could not be written must not be acknowledged, by the replica's next message neither. */
    private void sendIfKept(ReplicaId to, RaftMessage message, RaftReplica.Host owner) {
        if (!storage.failed()) {
            owner.send().accept(to, message);
        }
    }

    /** Begins from the store, if it holds anything. */
    public void restore() {
        RestoredRaftState restored = storage.restored();
        if (restored != null) {
            begin((ReplicaId) restored.getLocalEndpointPersistentState().getLocalEndpoint(), restored);
        }
    }

    private void begin(ReplicaId self, RestoredRaftState restored) {
        List<ReplicaId> replicas = place.nodes().stream().map(node -> new ReplicaId(node, 0)).toList();
        replica = new RaftReplica<>(self, replicas, restored, machines.get(), host);
        began.accept(replica);
        replica.start();
    }

    /** The replica, or null before there is one. */
    public RaftReplica<M> replica() {
        return replica;
    }

    /** Whether it has a replica that votes, as far as it was told. */
    public boolean votes() {
        return replica != null && admitted;
    }

    /** Whether it leads. */
    public boolean leads() {
        return replica != null && replica.leads();
    }

    /** Begins anew from the store a replica that waits for a leader in vain. */
    public void restartIfStuck(long nowUs) {
        if (replica != null && replica.stuck(nowUs)) {
            replica.stop();
            begin(replica.self(), storage.restored());
        }
    }

    /**
     * Steps out when the store has failed, and comes back when all is written again; to be called at each turn. Returns
     * when it is due next, or {@link Long#MAX_VALUE} while the store serves.
     */
    public long recover(long nowUs) {
        if (!storage.failed() && !steppedOut) {
            return Long.MAX_VALUE;
        }
        if (!steppedOut) {
            stepOut(nowUs);
        } else if (nowUs >= recoverAtUs) {
            recoverAtUs = nowUs + RECOVER_RETRY_US;
            if (storage.recover()) {
                steppedOut = false;
                LOG.log(Level.INFO, "replica {0}: its store is written anew, and it takes part again",
                        Integer.toString(place.self()));
                restore();
                return Long.MAX_VALUE;
            }
        }
        return recoverAtUs;
    }

    /** Not tried at once: what the replica has still queued must meet a store that refuses it. */
    private void stepOut(long nowUs) {
        steppedOut = true;
        recoverAtUs = nowUs + RECOVER_RETRY_US;
        LOG.log(Level.WARNING, "replica {0}: its store cannot be written; it takes no part until it can",
                Integer.toString(place.self()));
        stop();
        replica = null;
    }

    /** Asks to join, if that is due; returns when it is next, or {@link Long#MAX_VALUE}. */
    public long join(long nowUs) {
        if (replica != null && admitted || isOut()) {
            return Long.MAX_VALUE;
        }
        if (nowUs >= joinAtUs) {
            joinAtUs = nowUs + place.retryUs();
            long disk = replica == null ? 0 : replica.self().disk();
            place.nodes().stream().filter(each -> each != place.self())
                    .forEach(each -> outbox.join(each, disk, replica == null));
            found();
        }
        return replica != null && admitted ? Long.MAX_VALUE : joinAtUs;
    }

    /** A process that has nothing founds a group only where all others say that they have none either. */
    private void found() {
        Set<Integer> others = new HashSet<>(place.nodes());
        others.remove(place.self());
        if (replica == null && groups.keySet().containsAll(others) && !groups.containsValue(true)) {
            begin(new ReplicaId(place.self(), 0), null);
        }
    }

    private boolean isOut() {
        return steppedOut || storage.failed();
    }

    /** Another process asks to join. It hears nothing while the store has failed: there may be a group. */
    public void onJoin(int from, long disk, boolean empty) {
        if (isOut()) {
            return;
        }
        boolean group = replica != null && replica.committed();
        boolean member = replica != null && replica.votes(new ReplicaId(from, disk));
        if (!empty && !member && leads()) {
            replica.admit(new ReplicaId(from, disk));
        }
        outbox.joined(from, disk, group, member);
    }

    /** Another process answers. */
    public void onJoined(int from, long disk, boolean group, boolean member) {
        if (isOut()) {
            return;
        }
        if (replica == null) {
            groups.put(from, group);
            if (group) {
                beginAsAnother();
            }
        } else if (member && disk == replica.self().disk()) {
            admitted = true;
        }
    }

    /** What this one promised is lost: it learns first, and votes under another identity. */
    private void beginAsAnother() {
        try {
            storage.clear();
        } catch (UncheckedIOException failure) {
            LOG.log(Level.DEBUG, "the store could not be cleared; it is tried again when it can be written", failure);
            return;
        }
        begin(new ReplicaId(place.self(), host.random().nextLong() >>> 1 | 1), null);
        admitted = false;
    }

    /** Ends its part. */
    public void stop() {
        if (replica != null) {
            replica.stop();
        }
    }
}
