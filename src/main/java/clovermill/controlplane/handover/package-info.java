/**
 * Handover: the transition from one process of a director to the next while both serve clients.
 *
 * <p>{@link clovermill.controlplane.handover.ProcessRegistry} finds the other process in a folder that both share. The
 * platform opens the clients' listening socket and passes it to every process
 * ({@link clovermill.controlplane.handover.InheritedSocket}); the new process accepts no connection before it is ready,
 * the old one none after its successor is ready. While both run, each may use half of the director's descriptors
 * ({@link clovermill.controlplane.handover.DescriptorShares}).
 */
package clovermill.controlplane.handover;
