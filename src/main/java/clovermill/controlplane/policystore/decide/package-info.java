/**
 * The decision logic of the replicated policy store, without I/O, clocks or threads; see {@code
 * docs/design/policy-store.md}. The invariant: at any time there is one version of the policy that all actions in the
 * fleet comply with, and this version never decreases.
 *
 * <p>{@link clovermill.controlplane.policystore.decide.PolicyRegister} is the replicated state, {@link
 * clovermill.controlplane.policystore.decide.Coordinator} decides at the leader when a transition completes or is
 * aborted, and {@link clovermill.controlplane.policystore.decide.LeaseHolder} decides at each director whether it may
 * act and on which step. All three are immutable, so that a test can explore every reachable state.
 */
package clovermill.controlplane.policystore.decide;
