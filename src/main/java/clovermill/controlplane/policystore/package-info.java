/**
 * The replicated policy store: one policy for the whole fleet, in force at all directors or at none; see {@code
 * docs/design/policy-store.md}. It is disabled without the settings key {@code accord}.
 *
 * <p>{@link clovermill.controlplane.policystore.PolicyStore} runs a director's {@link
 * clovermill.controlplane.policystore.PolicyStoreTask} on a dedicated thread. Each director has a lease on the policy
 * in force ({@code LeaseClient}). Some directors are voters, which replicate the policy by Raft ({@code
 * controlplane.consensus}); one voter is the leader ({@code PolicyLeader}). Directors exchange signed datagrams ({@code
 * PolicyMessageCodec}). The decision logic is in {@code decide}.
 */
package clovermill.controlplane.policystore;
