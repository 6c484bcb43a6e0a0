package clovermill.controlplane.consensus;

import io.microraft.statemachine.StateMachine;

/** A state machine that can tell whether anything was ever agreed on. */
public interface ReplicatedStateMachine extends StateMachine {

    /** Whether any entry of the log, or a snapshot, has been applied. */
    boolean hasApplied();
}
