package clovermill.controlplane.consensus;

import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;

/**
 * A replica's durable state: its identity, term, vote and log. A method that fails throws, and the replica must stop,
 * as it is unknown what has become durable; after {@link #recover} it may be restored.
 */
public interface RaftStorage extends RaftStore {

    /** The stored state, or null if there is none or it is incomplete: the former votes are unknown then. */
    RestoredRaftState restored();

    /** Whether a write has failed: no further ones are accepted, and nothing may be acknowledged. */
    default boolean failed() {
        return false;
    }

    /**
     * After a failure rewrites the complete state to a new place and discards what was written before. Returns whether
     * the state is durable now; if not, it may be tried again.
     */
    default boolean recover() {
        return !failed();
    }

    /** Deletes the state, before the replica takes a new identity. */
    void clear();
}
