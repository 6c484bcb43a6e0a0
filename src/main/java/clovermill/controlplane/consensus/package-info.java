/**
 * Raft consensus with MicroRaft for every subsystem that replicates a state machine. The main type is {@link
 * clovermill.controlplane.consensus.RaftMember}, one process's membership in a group across restarts; its {@link
 * clovermill.controlplane.consensus.RaftReplica} runs MicroRaft on a {@link
 * clovermill.controlplane.consensus.RaftScheduler} in the ticks of a {@code clovermill.runtime.task.Task}. Its state is
 * stored in a {@link clovermill.controlplane.consensus.FileRaftStorage}, or in memory for emulated replicas. A
 * subsystem provides a {@link clovermill.controlplane.consensus.ReplicatedStateMachine}, an {@link
 * clovermill.controlplane.consensus.OperationCodec} and a message transport; this package does not depend on what is
 * replicated.
 */
package clovermill.controlplane.consensus;
