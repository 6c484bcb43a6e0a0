package clovermill.controlplane.consensus;

import io.microraft.statemachine.StateMachine;

/** A state machine that records whether anything was ever committed. */
public interface ReplicatedStateMachine extends StateMachine {

    /** Returns true if an entry of the log or a snapshot has been applied. */
    boolean hasApplied();
}
