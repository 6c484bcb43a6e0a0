/**
 * The change from one process of a director to the next while both serve. The platform holds the clients' listening
 * socket and hands it to every process ({@link clovermill.controlplane.handover.InheritedSocket}); the new process
 * takes
 * no connection before it can serve, the old one none after it was asked to leave.
 */
package clovermill.controlplane.handover;
