package clovermill.consensus;

import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;

/**
 * Where a replica keeps what it has promised. A fault is an exception: the replica must not go on, as nothing says
 * which
 * of its promises last. It may begin anew once {@link #recover} has written all of them again.
 */
public interface RaftStorage extends RaftStore {

    /** What was kept, or null if that is nothing, or not whole: its promises are not known then. */
    RestoredRaftState restored();

    /** Whether a promise could not be written: nothing more is kept, and nothing may be acknowledged. */
    default boolean failed() {
        return false;
    }

    /**
     * After a failure writes all that was ever handed in to a place of its own, and believes nothing that was written
     * before. Returns whether it lasts now; if not, it may be tried again.
     */
    default boolean recover() {
        return !failed();
    }

    /** Forgets all: a new identity of the replica begins. */
    void clear();
}
