/**
 * What a member of a gossip group decides, without I/O, clock or threads: the owner passes time and randomness in.
 *
 * <p>{@link clovermill.controlplane.gossip.decide.GossipMember} is the entry. It is made of {@code PeerSession}
 * (replay protection and liveness of one peer), {@code RumorQueue} and {@link
 * clovermill.controlplane.gossip.decide.ReplicatedMap} (a last-writer-wins map, spread by rumors and anti-entropy),
 * and {@code LoanExchange}, which lends and borrows parts of the limits under leases: {@link
 * clovermill.controlplane.gossip.decide.RateLimitShare} for requests a second, {@link
 * clovermill.controlplane.gossip.decide.ConcurrencyLimitShare} for requests open at once.
 */
package clovermill.controlplane.gossip.decide;
