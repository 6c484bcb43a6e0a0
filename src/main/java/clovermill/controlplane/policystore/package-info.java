/**
 * One policy for the whole fleet: it holds everywhere or nowhere. {@link
 * clovermill.controlplane.policystore.PolicyStoreTask} is a director's part in it, on a thread of its own; some
 * directors
 * vote as well, by way of MicroRaft. What is decided stands in {@code decide}.
 */
package clovermill.controlplane.policystore;
