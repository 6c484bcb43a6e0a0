/**
 * MicroRaft on the project's tasks, for every subsystem that replicates a state machine: its scheduler runs in the
 * turns of a {@code clovermill.runtime.task.Task}, its storage is checked files (or memory, for emulated replicas),
 * its messages become bytes that the subsystem signs and sends. Nothing here knows what is agreed on: a subsystem
 * brings a {@link clovermill.controlplane.consensus.ReplicatedStateMachine} and an {@link
 * clovermill.controlplane.consensus.OperationCodec}. The entry type is {@link
 * clovermill.controlplane.consensus.RaftReplica}.
 */
package clovermill.controlplane.consensus;
