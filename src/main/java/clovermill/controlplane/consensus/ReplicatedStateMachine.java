package clovermill.controlplane.consensus;

import io.microraft.statemachine.StateMachine;

/** A state machine that knows whether anything was ever committed. */
public interface ReplicatedStateMachine extends StateMachine {

    /** Whether any entry of the log, or a snapshot, has been applied. */
    boolean hasApplied();
}
