/**
 * What one policy for the whole fleet rests on, without I/O, clock or thread; see {@code docs/design/accord.md}. The
 * invariant: at every moment there is one version of the policy that all that is done in the fleet obeys, and it
 * never goes back.
 *
 * <p>{@link clovermill.controlplane.policystore.decide.PolicyRegister} is what the voters agree on, {@link
 * clovermill.controlplane.policystore.decide.Coordinator} decides at their leader when a change goes on or back, {@link
 * clovermill.controlplane.policystore.decide.LeaseHolder} decides at each director whether it may act and by what.
 * All are
 * immutable, so that every state can be explored.
 */
package clovermill.controlplane.policystore.decide;
