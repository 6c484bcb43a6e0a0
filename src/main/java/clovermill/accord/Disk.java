package clovermill.accord;

import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;

/** Where a voter keeps what it has promised. A fault is an exception: the voter must not go on. */
public interface Disk extends RaftStore {

    /** What was kept, or null if that is nothing, or not whole: its promises are not known then. */
    RestoredRaftState restored();

    /** Whether a promise could not be written: the part must end before it makes another. */
    default boolean failed() {
        return false;
    }

    /** Forgets all: a new seat begins. */
    void clear();
}
