package clovermill.controlplane.consensus;

import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;

/**
 * The storage of a replica's durable state: its identity, term, vote and log. After a method has thrown, the replica
 * must stop, because it is unknown which state is durable; after {@link #recover} it may be restored.
 */
public interface RaftStorage extends RaftStore {

    /** Returns the stored state, or null if it is missing or incomplete; the former votes are then unknown. */
    RestoredRaftState restored();

    /** Returns true if a write has failed: no further writes are accepted, and nothing may be acknowledged. */
    default boolean failed() {
        return false;
    }

    /**
     * After a failure, writes the complete state to a new location and discards what was written before. Returns true
     * if the state is durable now; if false, the call may be repeated.
     */
    default boolean recover() {
        return !failed();
    }

    /** Deletes the state before the replica takes a new identity. */
    void clear();
}
