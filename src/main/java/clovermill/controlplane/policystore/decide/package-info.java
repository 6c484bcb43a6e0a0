/**
 * The decisions of the replicated policy store, without I/O, clock or thread; see {@code docs/design/policy-store.md}.
 * The invariant: at every moment there is one version of the policy that everything done in the fleet obeys, and it
 * never goes back.
 *
 * <p>{@link clovermill.controlplane.policystore.decide.PolicyRegister} is the replicated state, {@link
 * clovermill.controlplane.policystore.decide.Coordinator} decides at the leader when a transition ends, {@link
 * clovermill.controlplane.policystore.decide.LeaseHolder} decides at each director whether it may act and by which
 * step. All three are immutable, so that every state can be explored.
 */
package clovermill.controlplane.policystore.decide;
