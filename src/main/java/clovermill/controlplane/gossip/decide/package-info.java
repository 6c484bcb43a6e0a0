/**
 * The gossip protocol without I/O, clock or threads: the owner passes in time and randomness.
 *
 * <p>Entry type: {@link clovermill.controlplane.gossip.decide.GossipMember}. It consists of {@code PeerSession}
 * (replay protection and liveness of one peer), {@code RumorQueue} and {@link
 * clovermill.controlplane.gossip.decide.ReplicatedMap} (a last-writer-wins map, replicated by rumors and anti-entropy),
 * and {@code LoanExchange}, which lends and borrows parts of the limits under leases: {@link
 * clovermill.controlplane.gossip.decide.RateLimitShare} for requests per second, {@link
 * clovermill.controlplane.gossip.decide.ConcurrencyLimitShare} for requests open at once.
 */
package clovermill.controlplane.gossip.decide;
