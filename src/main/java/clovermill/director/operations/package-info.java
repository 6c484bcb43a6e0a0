/**
 * Executes operators' calls at this process, at the director's other process and at peer directors.
 *
 * <p>{@link clovermill.director.operations.OperatorActions} and
 * {@link clovermill.director.operations.PolicyEndpoint} are called by the admin service;
 * {@link clovermill.director.operations.HandoverCoordinator} shares outages and descriptors between two processes of
 * one director; {@link clovermill.director.operations.GossipedOutages} and
 * {@link clovermill.director.operations.ReplicatedOutageMarks} share outages between peer directors. All on the loop's
 * thread.
 */
package clovermill.director.operations;
