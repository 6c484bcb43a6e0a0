/**
 * The replicated policy store: one policy for the whole fleet, in force at all directors or at none; see {@code
 * docs/design/policy-store.md}. Off without the settings key {@code accord}.
 *
 * <p>{@link clovermill.controlplane.policystore.PolicyStore} runs one director's part in it as a {@link
 * clovermill.controlplane.policystore.PolicyStoreTask} on a thread of its own. Each director holds a lease on the
 * policy in force ({@code LeaseClient}); some are voters, which replicate the policy by Raft ({@code
 * controlplane.consensus}), and one of these leads ({@code PolicyLeader}). Directors exchange signed datagrams ({@code
 * PolicyMessageCodec}). The decisions are in {@code decide}.
 */
package clovermill.controlplane.policystore;
